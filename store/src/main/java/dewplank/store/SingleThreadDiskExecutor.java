package dewplank.store;

import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.Executor;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** One thread that works on the disk in order and hands each result to the loop. */
public final class SingleThreadDiskExecutor implements DiskExecutor {
    /** Work that may wait; whoever gets no room treats it as a failed write. */
    public static final int MAX_QUEUED_TASKS = 64;

    private static final Logger LOG = LoggerFactory.getLogger(SingleThreadDiskExecutor.class);

    private record Job(Work work, Runnable done, Runnable failed) {}

    private final BlockingQueue<Job> jobs = new ArrayBlockingQueue<>(MAX_QUEUED_TASKS);
    private final Executor loop;
    private final Thread thread;
    private volatile boolean closed;

    /** Starts the thread; results run on the given executor. */
    public SingleThreadDiskExecutor(Executor loop) {
        this.loop = loop;
        this.thread = new Thread(this::work, "disk");
        thread.setDaemon(true);
        thread.start();
    }

    @Override
    public void submit(Work work, Runnable done, Runnable failed) {
        if (closed || !jobs.offer(new Job(work, done, failed))) {
            loop.execute(failed);
        }
    }

    @Override
    public void close() {
        closed = true;
        thread.interrupt();
    }

    private void work() {
        while (!closed) {
            try {
                run(jobs.take());
            } catch (InterruptedException ended) {
                return;
            }
        }
    }

    private void run(Job job) {
        try {
            job.work.run();
        } catch (StoreException | RuntimeException failure) {
            LOG.warn("the disk refused a write: {}", failure.toString());
            loop.execute(job.failed);
            return;
        }
        loop.execute(job.done);
    }
}
