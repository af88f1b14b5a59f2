package dewplank.lab.load;

/** Watches a load run's requests. Called on the workers' threads, so by several at once. */
interface LoadListener {
    /** Watches nothing. */
    LoadListener NONE = new LoadListener() {};

    /** A request is about to be handed to its connection, or queued for one. */
    default void requestSent() {}

    /**
     * A request was answered, broke or timed out, and is counted.
     *
     * @param intendedMs when it was to start, on its worker's clock
     */
    default void requestEnded(double intendedMs) {}
}
