package dewplank.net;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Limits on the bytes queued for peers that do not read, per connection and in total. */
class WriteBudgetTest {
    private static final int TIMEOUT_S = 20;
    private static final int MAX_BYTES_PER_CONNECTION = 8 * 1024 * 1024;
    private static final int MAX_TOTAL_BYTES = 64 * 1024 * 1024;
    private static final int PEERS_NOT_READING = 1_000;
    private static final int RESPONSE_BYTES = 128 * 1024;
    private static final int MAX_OTHER_CONNECTIONS = 100;
    private static final long SEED = 3;

    private final WriteBudget budget = new WriteBudget(MAX_BYTES_PER_CONNECTION, MAX_TOTAL_BYTES);
    private final BlockingQueue<Object> closes = new LinkedBlockingQueue<>();
    private final List<Socket> peers = new ArrayList<>();
    private EventLoop loop;
    private ServerSocket listener;

    private final class CloseRecorder implements Connection.Handler {
        @Override
        public void received(ByteBuffer bytes) {
            bytes.position(bytes.limit());
        }

        @Override
        public void closed(IOException cause) {
            closes.add(cause == null ? "closed by the peer" : cause.getMessage());
        }
    }

    @BeforeEach
    void listen() throws IOException {
        loop = new EventLoop(budget);
        listener = new ServerSocket(0, PEERS_NOT_READING, InetAddress.getLoopbackAddress());
    }

    @AfterEach
    void close() throws IOException {
        loop.stop();
        listener.close();
        for (Socket peer : peers) {
            peer.close();
        }
    }

    private Connection connect() throws Exception {
        CompletableFuture<Connection> connection = new CompletableFuture<>();
        InetSocketAddress to = (InetSocketAddress) listener.getLocalSocketAddress();
        loop.execute(() -> Connection.open(
                loop, to, new CloseRecorder(), connection::complete, connection::completeExceptionally));
        peers.add(listener.accept());
        return connection.get(TIMEOUT_S, TimeUnit.SECONDS);
    }

    private <T> T onLoop(Supplier<T> supplier) throws Exception {
        CompletableFuture<T> result = new CompletableFuture<>();
        loop.execute(() -> result.complete(supplier.get()));
        return result.get(TIMEOUT_S, TimeUnit.SECONDS);
    }

    private void write(Connection connection, int bytes) {
        loop.execute(() -> connection.write(ByteBuffer.allocate(bytes), () -> {}));
    }

    @Test
    void aPeerThatReadsReceivesAllBytesInOrderRegardlessOfPieceSizes() throws Exception {
        Connection connection = connect();
        byte[] sent = new byte[5 * 1024 * 1024];
        new Random(SEED).nextBytes(sent);
        BlockingQueue<String> written = new LinkedBlockingQueue<>();
        loop.execute(() -> {
            connection.write(ByteBuffer.wrap(sent, 0, 1_000), () -> written.add("first"));
            connection.write(ByteBuffer.wrap(sent, 1_000, sent.length - 1_000), () -> written.add("second"));
        });
        assertArrayEquals(sent, peers.get(0).getInputStream().readNBytes(sent.length));
        assertEquals("first", written.poll(TIMEOUT_S, TimeUnit.SECONDS));
        assertEquals("second", written.poll(TIMEOUT_S, TimeUnit.SECONDS));
        assertEquals(0, onLoop(budget::totalBytes));
        assertEquals(0, budget.overflowCount());
    }

    @Test
    void aConnectionOverItsLimitIsClosedAndItsHandlerReceivesTheCause() throws Exception {
        Connection connection = connect();
        write(connection, MAX_BYTES_PER_CONNECTION);
        assertEquals(false, onLoop(connection::isClosed));
        write(connection, MAX_BYTES_PER_CONNECTION);
        assertEquals("the peer does not read", closes.poll(TIMEOUT_S, TimeUnit.SECONDS));
        assertTrue(onLoop(connection::isClosed));
        assertEquals(0, onLoop(budget::totalBytes));
        assertEquals(1, budget.overflowCount());
    }

    /** The connection with the most queued bytes is closed, not the one that exceeds the limit with its write. */
    @Test
    void theConnectionWithTheLargestQueueIsClosedIfTheTotalLimitIsExceeded() throws Exception {
        Connection largest = connect();
        write(largest, 2 * MAX_BYTES_PER_CONNECTION);
        List<Connection> others = new ArrayList<>();
        while (closes.isEmpty() && others.size() < MAX_OTHER_CONNECTIONS) { // the system buffers some megabytes of each
            Connection other = connect();
            others.add(other);
            write(other, MAX_BYTES_PER_CONNECTION * 7 / 8);
            onLoop(() -> null);
        }
        assertEquals("the peer does not read", closes.poll(TIMEOUT_S, TimeUnit.SECONDS));
        assertTrue(onLoop(largest::isClosed));
        for (Connection other : others) {
            assertEquals(false, onLoop(other::isClosed));
        }
        assertTrue(onLoop(budget::totalBytes) <= MAX_TOTAL_BYTES);
    }

    /** Responses to 1000 peers that do not read stay within the limits, and a peer that reads is still served. */
    @Test
    void aThousandPeersThatDoNotReadStayWithinTheLimitsAndOthersAreServed() throws Exception {
        Connection reading = connect();
        List<Connection> notReading = new ArrayList<>();
        for (int index = 0; index < PEERS_NOT_READING; index++) {
            Connection connection = connect();
            notReading.add(connection);
            for (int response = 0; response < 4; response++) {
                write(connection, RESPONSE_BYTES);
            }
        }
        assertTrue(onLoop(budget::totalBytes) <= MAX_TOTAL_BYTES + RESPONSE_BYTES);
        byte[] sent = new byte[64 * 1024];
        new Random(SEED).nextBytes(sent);
        loop.execute(() -> reading.write(ByteBuffer.wrap(sent), () -> {}));
        assertArrayEquals(sent, peers.get(0).getInputStream().readNBytes(sent.length));
        assertEquals(false, onLoop(reading::isClosed));
        long closed = 0;
        for (Connection connection : notReading) {
            closed += onLoop(connection::isClosed) ? 1 : 0;
        }
        assertEquals(budget.overflowCount() > 0, closed > 0);
    }

    @Test
    void aClosedConnectionHasNoQueuedBytes() throws Exception {
        Connection connection = connect();
        write(connection, MAX_BYTES_PER_CONNECTION);
        assertTrue(onLoop(budget::totalBytes) > 0);
        peers.get(0).close();
        assertNotNull(closes.poll(TIMEOUT_S, TimeUnit.SECONDS));
        assertEquals(0, onLoop(budget::totalBytes));
        assertNull(closes.poll());
    }
}
