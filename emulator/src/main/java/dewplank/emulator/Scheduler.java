package dewplank.emulator;

/** The clock and the timers of a run. Tasks run on one thread; those of one moment run in the order of their calls. */
public interface Scheduler {
    /** Milliseconds; never goes back. */
    double now();

    /** Runs the task {@code ms} from now, at once where that is not above 0, but never inside this call. */
    void after(double ms, Runnable task);
}
