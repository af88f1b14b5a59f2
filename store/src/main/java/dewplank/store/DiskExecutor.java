package dewplank.store;

import java.util.function.Consumer;

/**
 * Runs disk tasks one at a time in the order of submission, away from the event loop, and delivers each result on the
 * event loop.
 *
 * <p>All methods are called on the event loop's thread and never block it. {@link SingleThreadDiskExecutor} is the one
 * of a real process; simulations have one in virtual time.
 */
public interface DiskExecutor extends AutoCloseable {
    /** One piece of work on the disk. Runs where blocking is allowed; it must not touch state that the loop owns. */
    @FunctionalInterface
    interface Task {
        /** Reads or writes and syncs; throws when the disk fails. */
        void run() throws StoreException;
    }

    /**
     * Queues a task.
     *
     * @param completion receives the result on the event loop, exactly once unless the executor is closed first; a full
     *     queue is a {@link DiskResult.Rejected}, also delivered later and never from within this call
     */
    void submit(Task task, Consumer<DiskResult> completion);

    /** Stops after the task in progress; queued tasks are dropped without a result. */
    @Override
    void close();
}
