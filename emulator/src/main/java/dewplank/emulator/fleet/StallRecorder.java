package dewplank.emulator.fleet;

import dewplank.net.EventLoop;

/**
 * Records stalls of the stand-ins' event loop, such as on a host without a free processor: a duration that a rule
 * measures between two events then exceeds the actual one. Used only on the loop's thread.
 */
final class StallRecorder {
    private static final double INTERVAL_MS = 20;
    /** Allows for the tick of the timers and the time that the handling of an event takes. */
    private static final double MIN_STALL_MS = 20;

    private final EventLoop loop;
    private final History history;

    StallRecorder(EventLoop loop, History history) {
        this.loop = loop;
        this.history = history;
    }

    /** Starts the measurement; may be called from any thread. */
    void start() {
        loop.execute(this::scheduleCheck);
    }

    private void scheduleCheck() {
        double dueMs = loop.now() + INTERVAL_MS;
        loop.after(INTERVAL_MS, () -> {
            if (loop.now() - dueMs > MIN_STALL_MS) {
                history.add(new FleetEvent.StandInsStalled(loop.now(), dueMs));
            }
            scheduleCheck();
        });
    }
}
