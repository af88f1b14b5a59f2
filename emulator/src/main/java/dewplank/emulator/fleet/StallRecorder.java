package dewplank.emulator.fleet;

import dewplank.net.EventLoop;

/**
 * Records stalls of the stand-ins' event loop, which occur for example on a host without a free processor. A
 * duration between two events that a rule measures then exceeds the actual duration. Used only on the loop's thread.
 */
final class StallRecorder {
    private static final double INTERVAL_MS = 20;
    /** Shorter delays are not recorded; they can result from the timers' tick and the handling of other events. */
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
