package dewplank.net;

/**
 * The steady clock and the timers of one process, and the thread that owns its state: all tasks run there, one at a
 * time. The event loop is one; virtual time is the other. Times in milliseconds.
 */
public interface Scheduler {
    /** A task that is scheduled. */
    interface Timer {
        /** Cancels the task; does nothing on a timer that has fired. */
        void cancel();
    }

    /** The steady clock, which never goes back. */
    double now();

    /** Runs the task after {@code ms} milliseconds or up to a tick later; never earlier. */
    Timer after(double ms, Runnable task);

    /** Runs the task soon, after the current one. */
    void execute(Runnable task);
}
