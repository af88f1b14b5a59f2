package dewplank.emulator;

/** Time as the model sees it. Tasks of one moment run in the order in which they were given. */
public interface Scheduler {
    /** Milliseconds; never goes back. */
    double now();

    /** Runs the task {@code ms} from now, at once where that is not above 0, but never inside this call. */
    void after(double ms, Runnable task);
}
