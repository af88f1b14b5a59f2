package dewplank.store;

import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.Executor;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** A {@link DiskExecutor} with one daemon thread, named {@code disk}. */
public final class SingleThreadDiskExecutor implements DiskExecutor {
    /** Maximum number of queued tasks. A disk that falls this far behind is treated as failed. */
    public static final int MAX_QUEUED_TASKS = 64;

    private static final long REPEATED_FAILURE_LOG_INTERVAL_NANOS = TimeUnit.MINUTES.toNanos(1);

    private static final Logger LOG = LoggerFactory.getLogger(SingleThreadDiskExecutor.class);

    private record Submission(Task task, Consumer<DiskResult> completion) {}

    /** Unblocks the thread, which then checks whether the executor is closed; this task itself never runs. */
    private static final Submission WAKE_UP = new Submission(() -> {}, result -> {});

    private final BlockingQueue<Submission> queue = new ArrayBlockingQueue<>(MAX_QUEUED_TASKS);
    private final Executor loop;
    private volatile boolean closed;
    private String loggedFailure = "";
    private long loggedFailureNanos;

    /**
     * Starts the thread.
     *
     * @param loop runs completions on the event loop; it must accept calls from any thread
     */
    public SingleThreadDiskExecutor(Executor loop) {
        this.loop = loop;
        Thread thread = new Thread(this::runQueue, "disk");
        thread.setDaemon(true);
        thread.start();
    }

    @Override
    public void submit(Task task, Consumer<DiskResult> completion) {
        if (closed || !queue.offer(new Submission(task, completion))) {
            complete(completion, DiskResult.Rejected.INSTANCE);
        }
    }

    @Override
    public void close() {
        closed = true;
        queue.clear();
        // The thread is not interrupted, since an interrupt would close the channel that the current task writes to.
        queue.add(WAKE_UP);
    }

    private void runQueue() {
        while (!closed) {
            try {
                Submission next = queue.take();
                if (!closed) {
                    complete(next.completion, run(next.task));
                }
            } catch (InterruptedException stopped) {
                return;
            }
        }
    }

    private DiskResult run(Task task) {
        try {
            task.run();
            return DiskResult.Succeeded.INSTANCE;
        } catch (StoreException | RuntimeException failure) {
            // An unexpected exception must fail only its own task. If it terminated the disk thread, no later save
            // would ever complete.
            logFailure(failure);
            return new DiskResult.Failed(failure);
        }
    }

    /** A failure that repeats, as of a disk that is probed each second, is logged once a minute. */
    private void logFailure(Exception failure) {
        Throwable cause = failure.getCause() == null ? failure : failure.getCause();
        String text = failure.getMessage() + ": " + cause.getMessage();
        long now = System.nanoTime();
        if (!text.equals(loggedFailure) || now - loggedFailureNanos > REPEATED_FAILURE_LOG_INTERVAL_NANOS) {
            LOG.warn("disk task failed cause=\"{}\"", text);
            loggedFailure = text;
            loggedFailureNanos = now;
        }
    }

    private void complete(Consumer<DiskResult> completion, DiskResult result) {
        loop.execute(() -> completion.accept(result));
    }
}
