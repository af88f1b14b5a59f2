package dewplank.controlplane;

import dewplank.net.Scheduler;
import java.util.function.DoubleConsumer;

/**
 * Detects that the event loop stood still: the process did not run, or was busy with one task. Messages of others wait
 * unread meanwhile, so their timeouts are extended by that time. On a slow machine the parsing of a configuration of
 * two thousand routes takes longer than a peer's heartbeat timeout.
 *
 * <p>On the loop's thread only.
 */
final class StallDetector {
    private static final double CHECK_INTERVAL_MS = 50;
    /** Below the heartbeat interval of 300 ms: a delay of this length costs no peer its timeout. */
    private static final double STALL_THRESHOLD_MS = 250;

    private final Scheduler loop;
    private final DoubleConsumer onStall;
    private double lastCheckAt;

    /** @param onStall takes the length of each stall in milliseconds, within {@link #check} */
    StallDetector(Scheduler loop, DoubleConsumer onStall) {
        this.loop = loop;
        this.onStall = onStall;
        this.lastCheckAt = loop.now();
    }

    void start() {
        check();
        loop.after(CHECK_INTERVAL_MS, this::start);
    }

    /** Called by the timer, and before any timeout is evaluated. */
    void check() {
        double now = loop.now();
        double gap = now - lastCheckAt;
        lastCheckAt = now;
        if (gap > STALL_THRESHOLD_MS) {
            onStall.accept(gap);
        }
    }
}
