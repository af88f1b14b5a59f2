package dewplank.lab.load;

import dewplank.net.EventLoop;

/**
 * The clock and the timers of a load worker or a stand-in target, bound to one event loop: tasks run on its thread.
 * Times in milliseconds. Tests bring one that they move themselves.
 */
interface LoadClock {
    /** Never goes back. Any thread may call it. */
    double nowMs();

    /** Runs the task after {@code delayMs}, as exactly as the clock allows. Any thread may call it. */
    void schedule(double delayMs, Runnable task);

    /** Runs the task after {@code delayMs} or up to a tick later, which is cheaper. On the loop's thread only. */
    void scheduleTimeout(double delayMs, Runnable task);

    /** The loop's own clock. */
    static LoadClock of(EventLoop loop) {
        return new LoadClock() {
            @Override
            public double nowMs() {
                return loop.now();
            }

            @Override
            public void schedule(double delayMs, Runnable task) {
                loop.afterExactly(delayMs, task);
            }

            @Override
            public void scheduleTimeout(double delayMs, Runnable task) {
                loop.after(delayMs, task);
            }
        };
    }
}
