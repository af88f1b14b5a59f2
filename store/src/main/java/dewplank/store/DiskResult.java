package dewplank.store;

/** The outcome of one task of a {@link DiskExecutor}. */
public sealed interface DiskResult {
    /** The task completed, and the data that it saved is synced. */
    record Succeeded() implements DiskResult {
        /** The shared instance. */
        public static final Succeeded INSTANCE = new Succeeded();
    }

    /**
     * The task threw an exception. Its data may or may not be on the disk, so the caller must not acknowledge it.
     *
     * @param cause the exception that the task threw
     */
    record Failed(Exception cause) implements DiskResult {}

    /** The task did not run, since the queue was full or the executor was closed. Nothing was written. */
    record Rejected() implements DiskResult {
        /** The shared instance. */
        public static final Rejected INSTANCE = new Rejected();
    }

    /** Whether the data that the task saved is durable. */
    default boolean isSuccess() {
        return this instanceof Succeeded;
    }
}
