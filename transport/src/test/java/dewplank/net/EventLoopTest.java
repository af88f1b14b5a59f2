package dewplank.net;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

/** Tasks, timers and callbacks run on the loop's single thread, and a failure of one does not affect the others. */
class EventLoopTest {
    /** Time limit of a failing test. */
    private static final int TIMEOUT_S = 20;

    private final Set<String> threads = ConcurrentHashMap.newKeySet();
    private final CountDownLatch closes = new CountDownLatch(2);

    private void recordThread() {
        threads.add(Thread.currentThread().getName());
    }

    /** Echoes the bytes that it receives, and closes the connection when it has received bytes ten times. */
    private final class Echo implements Listener.Accepted {
        private Connection connection;
        private int rounds;

        @Override
        public void accepted(Connection accepted) {
            recordThread();
            connection = accepted;
        }

        @Override
        public void received(ByteBuffer bytes) {
            recordThread();
            ByteBuffer copy = ByteBuffer.allocate(bytes.remaining()).put(bytes).flip();
            if (++rounds == 10) {
                connection.close();
                closes.countDown();
            } else {
                connection.write(copy, EventLoopTest.this::recordThread);
            }
        }

        @Override
        public void closed(IOException cause) {
            recordThread();
            closes.countDown();
        }
    }

    /** Also covers errors such as a missing class: they must only affect the task that needs the class. */
    @ParameterizedTest
    @MethodSource("failures")
    void aFailedTaskStopsNeitherTheLoopNorItsTimers(Throwable failure) throws Exception {
        EventLoop loop = new EventLoop();
        CountDownLatch ran = new CountDownLatch(2);
        loop.execute(() -> {
            loop.after(1, () -> throwUnchecked(failure));
            loop.after(10, ran::countDown);
            throwUnchecked(failure);
        });
        loop.execute(ran::countDown);
        assertTrue(ran.await(TIMEOUT_S, TimeUnit.SECONDS));
        loop.stop();
    }

    static Stream<Throwable> failures() {
        return Stream.of(
                new IllegalStateException("test failure"),
                new AssertionError("an error of a task"),
                new NoClassDefFoundError("AbsentType"),
                new StackOverflowError());
    }

    private static void throwUnchecked(Throwable failure) {
        if (failure instanceof Error error) {
            throw error;
        }
        throw (RuntimeException) failure;
    }

    @Test
    void handlersAndTimersRunOnlyOnTheLoopsThread() throws Exception {
        EventLoop loop = new EventLoop();
        Listener listener =
                new Listener(loop, new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 10, Echo::new);
        Echo client = new Echo();
        loop.execute(() -> {
            listener.accept();
            loop.after(1, () -> {
                recordThread();
                open(loop, listener, client);
            });
        });
        assertTrue(closes.await(TIMEOUT_S, TimeUnit.SECONDS), "a connection is still open");
        loop.stop();
        assertEquals(Set.of("loop"), threads);
    }

    /** The executor does not repeat a periodic task that throws, which would stop all timers. */
    @Test
    void aTimerTaskThatThrowsStopsNeitherTheLoopNorTheTicks() throws Exception {
        EventLoop loop = new EventLoop();
        CountDownLatch after = new CountDownLatch(1);
        loop.execute(() -> {
            loop.after(0, () -> {
                throw new IllegalStateException("test failure in a timer");
            });
            loop.after(20, after::countDown);
        });
        assertTrue(after.await(TIMEOUT_S, TimeUnit.SECONDS), "the loop has stopped ticking");
        loop.stop();
    }

    private void open(EventLoop loop, Listener listener, Echo client) {
        try {
            Connection.open(
                    loop,
                    (InetSocketAddress) listener.address(),
                    client,
                    established -> {
                        client.accepted(established);
                        established.write(ByteBuffer.wrap(new byte[] {1}), this::recordThread);
                    },
                    failure -> {});
        } catch (IOException e) {
            throw new IllegalStateException(e);
        }
    }
}
