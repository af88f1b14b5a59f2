package dewplank.lab.load;

import dewplank.net.EventLoop;
import java.util.Comparator;
import java.util.PriorityQueue;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.TimeUnit;

/**
 * A clock that the test advances from one scheduled task to the next, shared by several loops. Socket I/O takes no
 * time on this clock, however slow the machine is. Any thread may call the methods.
 */
final class ManualClock {
    private static final long POLL_INTERVAL_MS = 10;

    private record Task(double atMs, long order, EventLoop loop, Runnable action) {}

    private final PriorityQueue<Task> tasks =
            new PriorityQueue<>(Comparator.comparingDouble(Task::atMs).thenComparingLong(Task::order));
    private double nowMs = 1_000_000; // not 0, because a real clock never returns 0
    private long scheduled;

    /** A clock for one loop. */
    LoadClock of(EventLoop loop) {
        return new LoadClock() {
            @Override
            public double nowMs() {
                synchronized (ManualClock.this) {
                    return nowMs;
                }
            }

            @Override
            public void schedule(double delayMs, Runnable task) {
                synchronized (ManualClock.this) {
                    tasks.add(new Task(nowMs + delayMs, ++scheduled, loop, task));
                    ManualClock.this.notifyAll();
                }
            }

            @Override
            public void scheduleTimeout(double delayMs, Runnable task) {
                schedule(delayMs, task);
            }
        };
    }

    /** Waits until at least this many tasks are scheduled. */
    synchronized void awaitScheduled(int count) throws InterruptedException {
        while (tasks.size() < count) {
            wait();
        }
    }

    /**
     * Advances to the next task and runs it on its loop. Returns after the task has run, or if the run ends without
     * one.
     *
     * @param runner the thread that stops the loops; after it has ended, a task may no longer run
     */
    void runNext(Thread runner) throws InterruptedException {
        Task next;
        synchronized (this) {
            while (tasks.isEmpty() && runner.isAlive()) {
                wait(POLL_INTERVAL_MS); // after the last task no further one is scheduled, and the run ends
            }
            if (tasks.isEmpty()) {
                return;
            }
            next = tasks.remove();
            nowMs = next.atMs();
        }
        CountDownLatch hasRun = new CountDownLatch(1);
        try {
            next.loop().execute(() -> {
                try {
                    next.action().run();
                } finally {
                    hasRun.countDown();
                }
            });
        } catch (RejectedExecutionException e) {
            return; // the loop has stopped, so the run has ended
        }
        while (!hasRun.await(POLL_INTERVAL_MS, TimeUnit.MILLISECONDS) && runner.isAlive()) {
            Thread.onSpinWait();
        }
    }
}
