package dewplank.exchange;

import dewplank.net.EventLoop;
import java.util.concurrent.Callable;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;

/** Runs steps of a test on the loop's thread, and waits for conditions evaluated there. */
public final class OnLoop {
    private OnLoop() {}

    /** A task that may throw. */
    public interface Task {
        void run() throws Exception;
    }

    /** Runs the task on the loop's thread and returns its result. */
    public static <T> T get(EventLoop loop, Callable<T> task) throws Exception {
        CompletableFuture<T> done = new CompletableFuture<>();
        loop.execute(() -> {
            try {
                done.complete(task.call());
            } catch (Exception | AssertionError e) {
                done.completeExceptionally(e);
            }
        });
        return done.get(TestPeer.TIMEOUT_S, TimeUnit.SECONDS);
    }

    /** Runs the task on the loop's thread and waits until it has completed. */
    public static void run(EventLoop loop, Task task) throws Exception {
        get(loop, () -> {
            task.run();
            return null;
        });
    }

    /** Waits until the condition is true; it is evaluated at each tick of the loop. */
    public static void await(EventLoop loop, Callable<Boolean> condition) throws Exception {
        CompletableFuture<Void> done = new CompletableFuture<>();
        loop.execute(() -> poll(loop, condition, done));
        try {
            done.get(TestPeer.TIMEOUT_S, TimeUnit.SECONDS);
        } finally {
            done.cancel(false);
        }
    }

    private static void poll(EventLoop loop, Callable<Boolean> condition, CompletableFuture<Void> done) {
        try {
            if (condition.call()) {
                done.complete(null);
            } else if (!done.isDone()) {
                loop.after(1, () -> poll(loop, condition, done));
            }
        } catch (Exception | AssertionError e) {
            done.completeExceptionally(e);
        }
    }

    /** Waits for {@code ms} milliseconds of the loop's timers, so that all timers due earlier have run. */
    public static void waitMs(EventLoop loop, double ms) throws InterruptedException {
        CountDownLatch passed = new CountDownLatch(1);
        loop.execute(() -> loop.after(ms, passed::countDown));
        if (!passed.await((long) ms + TestPeer.TIMEOUT_S * 1000L, TimeUnit.MILLISECONDS)) {
            throw new AssertionError("the loop's timers do not run");
        }
    }
}
