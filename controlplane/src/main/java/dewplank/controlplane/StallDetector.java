package dewplank.controlplane;

import dewplank.net.Scheduler;
import java.util.function.DoubleConsumer;

/**
 * Notices that this process did not run, or was busy with one thing, for so long that others seem to have been silent:
 * their words wait unread meanwhile, and must not cost them their sessions. On a slow machine the reading of a
 * configuration of two thousand routes takes longer than a peer may be silent.
 */
final class StallDetector {
    private static final double CHECK_INTERVAL_MS = 50;
    /** Two beats of 300 ms may be late by as much without harm. */
    private static final double STALL_THRESHOLD_MS = 250;

    private final Scheduler loop;
    private final DoubleConsumer onStall;
    private double lastCheckAt;

    /** @param onStall is told of the milliseconds */
    StallDetector(Scheduler loop, DoubleConsumer onStall) {
        this.loop = loop;
        this.onStall = onStall;
        this.lastCheckAt = loop.now();
    }

    void start() {
        check();
        loop.after(CHECK_INTERVAL_MS, this::start);
    }

    /** To be called before anybody's silence is held against them. */
    void check() {
        double now = loop.now();
        double gap = now - lastCheckAt;
        lastCheckAt = now;
        if (gap > STALL_THRESHOLD_MS) {
            onStall.accept(gap);
        }
    }
}
