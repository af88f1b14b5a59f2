package dewplank.store;

import java.util.function.Consumer;

/**
 * Runs disk tasks one at a time in the order of submission, away from the event loop, and delivers each result on the
 * event loop.
 *
 * <p>All methods are called on the event loop's thread and never block it. {@link SingleThreadDiskExecutor} is the
 * implementation for real processes; simulations use one in virtual time.
 */
public interface DiskExecutor extends AutoCloseable {
    /** One disk operation. It may block, and must not access state that the event loop owns. */
    @FunctionalInterface
    interface Task {
        /** Reads, or writes and syncs; throws if the disk fails. */
        void run() throws StoreException;
    }

    /**
     * Queues a task.
     *
     * @param completion receives the result on the event loop, exactly once unless the executor is closed first. If the
     *     queue is full, the result is {@link DiskResult.Rejected}, which is also delivered after this call returns.
     */
    void submit(Task task, Consumer<DiskResult> completion);

    /** Stops after the task in progress; queued tasks are dropped without a result. */
    @Override
    void close();
}
