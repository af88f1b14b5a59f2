package dewplank.controlplane;

import dewplank.net.Scheduler;
import java.util.function.DoubleConsumer;

/**
 * Detects stalls of the event loop, during which the process did not run or executed a single long task. Messages from
 * other processes are not read during a stall, so the timeouts for them are extended by its duration. On a slow
 * machine, parsing a configuration with two thousand routes takes longer than the heartbeat timeout of a peer.
 *
 * <p>Must be used on the loop's thread only.
 */
final class StallDetector {
    private static final double CHECK_INTERVAL_MS = 50;
    /**
     * Minimum delay of a check that counts as a stall. It is less than the heartbeat interval of 300 ms, because a
     * shorter delay does not make any peer time out.
     */
    private static final double STALL_THRESHOLD_MS = 250;

    private final Scheduler loop;
    private final DoubleConsumer onStall;
    private double lastCheckAt;

    /** @param onStall receives the duration of each stall in milliseconds, within {@link #check} */
    StallDetector(Scheduler loop, DoubleConsumer onStall) {
        this.loop = loop;
        this.onStall = onStall;
        this.lastCheckAt = loop.now();
    }

    void start() {
        check();
        loop.after(CHECK_INTERVAL_MS, this::start);
    }

    /** Reports a stall that has ended. Called by the timer, and before any timeout is evaluated. */
    void check() {
        double now = loop.now();
        double gap = now - lastCheckAt;
        lastCheckAt = now;
        if (gap > STALL_THRESHOLD_MS) {
            onStall.accept(gap);
        }
    }
}
