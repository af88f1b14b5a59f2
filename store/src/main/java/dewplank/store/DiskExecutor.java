package dewplank.store;

/** Does work on the disk in order, apart from the thread that owns the process's state, and hands each result back. */
public interface DiskExecutor extends AutoCloseable {
    /** Something to do on the disk. */
    interface Work {
        /** Does it; called where the disk may be waited for. */
        void run() throws StoreException;
    }

    /**
     * Queues work; exactly one of the two runs on the owner's thread afterwards, the second also when there is no room.
     */
    void submit(Work work, Runnable done, Runnable failed);

    /** Ends after the work under way; what waits is dropped. */
    @Override
    void close();
}
