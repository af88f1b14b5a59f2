package dewplank.emulator;

/** The clock and the timers of a run. Tasks run on one thread; tasks due at the same time run in scheduling order. */
public interface Scheduler {
    /** Current time in milliseconds; monotonic. */
    double now();

    /** Runs the task after {@code ms}, or as soon as possible if that is not above 0, but never within this call. */
    void after(double ms, Runnable task);
}
