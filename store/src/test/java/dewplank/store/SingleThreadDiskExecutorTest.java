package dewplank.store;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.LinkedBlockingQueue;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Assertions;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

@Timeout(20)
class SingleThreadDiskExecutorTest {
    private final BlockingQueue<Runnable> loop = new LinkedBlockingQueue<>();
    private final SingleThreadDiskExecutor disk = new SingleThreadDiskExecutor(loop::add);
    private final List<String> results = new ArrayList<>();

    @AfterEach
    void closeExecutor() {
        disk.close();
    }

    private void submit(String name, DiskExecutor.Task task) {
        disk.submit(task, result -> results.add(name + (result.isSuccess() ? " done" : " failed")));
    }

    private void runLoop(int times) throws InterruptedException {
        for (int time = 0; time < times; time++) {
            loop.take().run();
        }
    }

    @Test
    void deliversResultsOnTheLoopInOrder() throws InterruptedException {
        submit("first", () -> {});
        submit("second", () -> {
            throw new StoreException("full");
        });
        submit("third", () -> {});
        runLoop(3);
        Assertions.assertEquals(List.of("first done", "second failed", "third done"), results);
    }

    @Test
    void anUnexpectedErrorFailsItsOwnTaskOnly() throws InterruptedException {
        submit("first", () -> {
            throw new IllegalStateException("not foreseen");
        });
        submit("second", () -> {});
        runLoop(2);
        Assertions.assertEquals(List.of("first failed", "second done"), results);
    }

    @Test
    void rejectsTasksBeyondTheQueueAtOnce() throws InterruptedException {
        CountDownLatch hanging = new CountDownLatch(1);
        CountDownLatch begun = new CountDownLatch(1);
        submit("hanging", () -> {
            begun.countDown();
            awaitQuietly(hanging);
        });
        begun.await();
        for (int index = 0; index <= SingleThreadDiskExecutor.MAX_QUEUED_TASKS; index++) {
            submit("waiting", () -> {});
        }
        runLoop(1);
        Assertions.assertEquals(List.of("waiting failed"), results);
        hanging.countDown();
        runLoop(1 + SingleThreadDiskExecutor.MAX_QUEUED_TASKS);
        Assertions.assertEquals("hanging done", results.get(1));
    }

    private static void awaitQuietly(CountDownLatch latch) {
        try {
            latch.await();
        } catch (InterruptedException ended) {
            Thread.currentThread().interrupt();
        }
    }
}
