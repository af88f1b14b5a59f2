package dewplank.lab.load;

/** Observes the requests of a load run. Called on the workers' threads, possibly concurrently. */
interface LoadListener {
    /** A listener that does nothing. */
    LoadListener NONE = new LoadListener() {};

    /** Called before a request is written to a connection or queued for one. */
    default void requestSent() {}

    /**
     * Called after a request got its response, lost its connection or timed out, and was counted.
     *
     * @param intendedMs the intended start on the worker's clock
     */
    default void requestEnded(double intendedMs) {}
}
