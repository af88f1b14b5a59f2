package dewplank.controlplane;

import dewplank.net.Scheduler;
import java.util.function.DoubleConsumer;

/**
 * Notices that this process did not run, or was busy with one thing, for so long that others seem to have been silent:
 * their words wait unread meanwhile, and must not cost them their sessions. On a slow machine the reading of a
 * configuration of two thousand routes takes longer than a peer may be silent.
 */
final class StallDetector {
    private static final double LOOK_EVERY_MS = 50;
    /** Two beats of 300 ms may be late by as much without harm. */
    private static final double NOTICED_MS = 250;

    private final Scheduler loop;
    private final DoubleConsumer paused;
    private double seenAt;

    /** @param paused is told of the milliseconds */
    StallDetector(Scheduler loop, DoubleConsumer paused) {
        this.loop = loop;
        this.paused = paused;
        this.seenAt = loop.now();
    }

    void start() {
        look();
        loop.after(LOOK_EVERY_MS, this::start);
    }

    /** To be called before anybody's silence is held against them. */
    void look() {
        double now = loop.now();
        double gap = now - seenAt;
        seenAt = now;
        if (gap > NOTICED_MS) {
            paused.accept(gap);
        }
    }
}
