package dewplank.lab.load;

import dewplank.net.EventLoop;
import java.util.Comparator;
import java.util.PriorityQueue;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.TimeUnit;

/**
 * A clock that the test advances from one scheduled task to the next, shared by several loops. Work on sockets takes no
 * time by this clock, however slow the machine. Any thread may call it.
 */
final class ManualClock {
    private static final long POLL_INTERVAL_MS = 10;

    private record Task(double atMs, long order, EventLoop loop, Runnable action) {}

    private final PriorityQueue<Task> tasks =
            new PriorityQueue<>(Comparator.comparingDouble(Task::atMs).thenComparingLong(Task::order));
    private double nowMs = 1_000_000; // not 0, which a real clock never shows
    private long scheduled;

    /** The view of one loop. */
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

    /** Waits until so many tasks are scheduled. */
    synchronized void awaitScheduled(int count) throws InterruptedException {
        while (tasks.size() < count) {
            wait();
        }
    }

    /**
     * Moves to the next task and runs it on its loop; returns when it has run, or when the run has ended without one.
     *
     * @param loops the thread that stops the loops: once it has ended a task may not run any more
     */
    void runNext(Thread loops) throws InterruptedException {
        Task next;
        synchronized (this) {
            while (tasks.isEmpty() && loops.isAlive()) {
                wait(POLL_INTERVAL_MS); // the last task has run, and the run is about to end
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
            return; // its loop has stopped: the run is over
        }
        while (!hasRun.await(POLL_INTERVAL_MS, TimeUnit.MILLISECONDS) && loops.isAlive()) {
            Thread.onSpinWait();
        }
    }
}
