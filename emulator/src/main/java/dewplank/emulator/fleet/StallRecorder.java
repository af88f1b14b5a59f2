package dewplank.emulator.fleet;

import dewplank.net.EventLoop;

/**
 * Records when the stand-ins' own loop was held up, as on a machine without a free processor: what a rule measures from
 * one event to the next is then longer than it was. On the loop's thread.
 */
final class StallRecorder {
    private static final double INTERVAL_MS = 20;
    /** The timers' tick, and what an event's handling takes. */
    private static final double MIN_STALL_MS = 20;

    private final EventLoop loop;
    private final History history;

    StallRecorder(EventLoop loop, History history) {
        this.loop = loop;
        this.history = history;
    }

    /** Begins to measure; from any thread. */
    void start() {
        loop.execute(this::await);
    }

    private void await() {
        double dueMs = loop.now() + INTERVAL_MS;
        loop.after(INTERVAL_MS, () -> {
            if (loop.now() - dueMs > MIN_STALL_MS) {
                history.add(new FleetEvent.StandInsStalled(loop.now(), dueMs));
            }
            await();
        });
    }
}
