package dewplank.net;

/**
 * The monotonic clock and the timers of a process, and the thread that owns its state: all tasks run there, one at a
 * time. Implemented by the event loop and by virtual time. Times are in milliseconds.
 */
public interface Scheduler {
    /** A scheduled task. */
    interface Timer {
        /** Cancels the task; no effect after the timer has fired. */
        void cancel();
    }

    /** The monotonic clock. */
    double now();

    /** Runs the task after at least {@code ms} milliseconds, at most a tick later. */
    Timer after(double ms, Runnable task);

    /** Queues the task to run after the current one. */
    void execute(Runnable task);
}
