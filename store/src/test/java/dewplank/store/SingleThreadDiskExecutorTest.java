package dewplank.store;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.LinkedBlockingQueue;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Assertions;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

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
    void anUnexpectedExceptionFailsOnlyItsOwnTask() throws InterruptedException {
        submit("first", () -> {
            throw new IllegalStateException("unexpected");
        });
        submit("second", () -> {});
        runLoop(2);
        Assertions.assertEquals(List.of("first failed", "second done"), results);
    }

    @Test
    void rejectsTasksImmediatelyIfTheQueueIsFull() throws InterruptedException {
        CountDownLatch blocked = new CountDownLatch(1);
        CountDownLatch started = new CountDownLatch(1);
        submit("blocked", () -> {
            started.countDown();
            awaitLatch(blocked);
        });
        started.await();
        for (int index = 0; index <= SingleThreadDiskExecutor.MAX_QUEUED_TASKS; index++) {
            submit("queued", () -> {});
        }
        runLoop(1);
        Assertions.assertEquals(List.of("queued failed"), results);
        blocked.countDown();
        runLoop(1 + SingleThreadDiskExecutor.MAX_QUEUED_TASKS);
        Assertions.assertEquals("blocked done", results.get(1));
    }

    /** An interrupt would close the channel during a write, whose outcome would then be unknown. */
    @Test
    void closingLetsTheCurrentTaskCompleteAndDropsQueuedTasks(@TempDir Path directory) throws Exception {
        CountDownLatch closed = new CountDownLatch(1);
        CountDownLatch started = new CountDownLatch(1);
        Path file = directory.resolve("written");
        submit("in progress", () -> {
            started.countDown();
            awaitLatch(closed);
            try (StoreFile written = new DiskFiles().open(file)) {
                written.write(ByteBuffer.wrap(new byte[] {1, 2, 3}), 0);
                written.sync();
            } catch (IOException e) {
                throw new StoreException("interrupted", e);
            }
        });
        submit("queued", () -> {});
        started.await();
        disk.close();
        closed.countDown();
        runLoop(1);
        Assertions.assertEquals(List.of("in progress done"), results);
        Assertions.assertEquals(3, Files.size(file));
        submit("late", () -> {});
        runLoop(1);
        Assertions.assertEquals(List.of("in progress done", "late failed"), results);
    }

    private static void awaitLatch(CountDownLatch latch) {
        try {
            latch.await();
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
        }
    }
}
