package dewplank.lab.load;

import dewplank.net.EventLoop;

/**
 * The clock and timers of a load worker or a stub server, bound to one event loop, on whose thread tasks run. Times are
 * in milliseconds. Tests use an implementation that they advance themselves.
 */
interface LoadClock {
    /** The current time; never decreases. Any thread may call it. */
    double nowMs();

    /** Runs the task after {@code delayMs}, as precisely as the clock allows. Any thread may call it. */
    void schedule(double delayMs, Runnable task);

    /** Like {@link #schedule}, but up to one tick late, which costs less. Must be called on the loop's thread. */
    void scheduleTimeout(double delayMs, Runnable task);

    /** The clock of the loop itself. */
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
