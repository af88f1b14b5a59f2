package dewplank.store;

/** The outcome of one task of a {@link DiskExecutor}. */
public sealed interface DiskResult {
    /** The task ran to its end: what it saved is synced. */
    record Succeeded() implements DiskResult {
        /** The one value there is. */
        public static final Succeeded INSTANCE = new Succeeded();
    }

    /**
     * The task threw. What it was to save may or may not be on the disk, so that the caller must not acknowledge it.
     *
     * @param cause what the task threw
     */
    record Failed(Exception cause) implements DiskResult {}

    /** The task never ran, since the queue was full or the executor closed. Nothing was written. */
    record Rejected() implements DiskResult {
        /** The one value there is. */
        public static final Rejected INSTANCE = new Rejected();
    }

    /** Whether the caller may rely on what the task saved. */
    default boolean isSuccess() {
        return this instanceof Succeeded;
    }
}
