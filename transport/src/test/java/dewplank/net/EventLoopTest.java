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

/** Everything runs on the loop's one thread, without a lock. */
class EventLoopTest {
    /** Only bounds how long a test takes to fail. */
    private static final int PATIENCE_S = 20;

    private final Set<String> threads = ConcurrentHashMap.newKeySet();
    private final CountDownLatch ends = new CountDownLatch(2);

    private void recordThread() {
        threads.add(Thread.currentThread().getName());
    }

    /** Echoes what it receives, and closes the connection at the tenth round. */
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
                ends.countDown();
            } else {
                connection.write(copy, EventLoopTest.this::recordThread);
            }
        }

        @Override
        public void closed(IOException cause) {
            recordThread();
            ends.countDown();
        }
    }

    /** One path that lacks a class fails alone: what does not need the class is served on. */
    @ParameterizedTest
    @MethodSource("failures")
    void aTaskThatFailsEndsNeitherTheLoopNorItsTimers(Throwable failure) throws Exception {
        EventLoop loop = new EventLoop();
        CountDownLatch ran = new CountDownLatch(2);
        loop.execute(() -> {
            loop.after(1, () -> throwUnchecked(failure));
            loop.after(10, ran::countDown);
            throwUnchecked(failure);
        });
        loop.execute(ran::countDown);
        assertTrue(ran.await(PATIENCE_S, TimeUnit.SECONDS));
        loop.stop();
    }

    static Stream<Throwable> failures() {
        return Stream.of(
                new IllegalStateException("a fault"), new NoClassDefFoundError("gone"), new StackOverflowError());
    }

    private static void throwUnchecked(Throwable failure) {
        if (failure instanceof Error error) {
            throw error;
        }
        throw (RuntimeException) failure;
    }

    @Test
    void handlersAndTimersRunOnTheLoopsThreadOnly() throws Exception {
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
        assertTrue(ends.await(PATIENCE_S, TimeUnit.SECONDS), "a connection is still open");
        loop.stop();
        assertEquals(Set.of("loop"), threads);
    }

    /** Guards the ticks: a scheduled task that throws is never run again. */
    @Test
    void aTaskThatThrowsEndsNeitherTheLoopNorTheTicks() throws Exception {
        EventLoop loop = new EventLoop();
        CountDownLatch after = new CountDownLatch(1);
        loop.execute(() -> {
            loop.after(0, () -> {
                throw new IllegalStateException("on purpose, for the test");
            });
            loop.after(20, after::countDown);
        });
        assertTrue(after.await(PATIENCE_S, TimeUnit.SECONDS), "the ticks have ended");
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
