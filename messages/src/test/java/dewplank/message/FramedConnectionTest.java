package dewplank.message;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dewplank.exchange.OnLoop;
import dewplank.exchange.ScriptedServer;
import dewplank.exchange.TestPeer;
import dewplank.net.EventLoop;
import dewplank.net.Listener;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

class FramedConnectionTest {
    private static final double OPEN_MS = 5_000;

    private EventLoop loop;
    private Listener listener;
    private final MessageCodec codec = FleetMessages.codec();
    private final RecordingHandler local = new RecordingHandler();
    private final RecordingHandler remote = new RecordingHandler();

    /** Records the events of one end. */
    private static final class RecordingHandler implements MessageLink.Handler {
        private final BlockingQueue<FramedConnection> opened = new LinkedBlockingQueue<>();
        private final BlockingQueue<Object> messages = new LinkedBlockingQueue<>();
        private final BlockingQueue<FramedConnection> closed = new LinkedBlockingQueue<>();
        private volatile boolean closesOnMessage;

        @Override
        public void opened(MessageLink connection) {
            opened.add((FramedConnection) connection);
        }

        @Override
        public void received(MessageLink connection, Object message) {
            messages.add(message);
            if (closesOnMessage) {
                connection.close();
            }
        }

        @Override
        public void closed(MessageLink connection) {
            closed.add((FramedConnection) connection);
        }

        private static <T> T next(BlockingQueue<T> from) throws InterruptedException {
            T next = from.poll(TestPeer.TIMEOUT_S, TimeUnit.SECONDS);
            assertNotNull(next, "no event was recorded in time");
            return next;
        }

        long nextSequence() throws InterruptedException {
            return ((SessionHeartbeat) next(messages)).sequence;
        }
    }

    @BeforeEach
    void startLoopAndListener() throws IOException {
        loop = new EventLoop();
        listener = new Listener(
                loop,
                new InetSocketAddress(InetAddress.getLoopbackAddress(), 0),
                10,
                () -> new FramedConnection(loop, codec, remote));
        loop.execute(listener::accept);
    }

    @AfterEach
    void stopLoop() {
        loop.stop();
    }

    private InetSocketAddress address() throws IOException {
        return (InetSocketAddress) listener.address();
    }

    private FramedConnection open(InetSocketAddress to, double timeoutMs) throws Exception {
        return OnLoop.get(loop, () -> FramedConnection.open(loop, to, timeoutMs, codec, local));
    }

    private static SessionHeartbeat heartbeat(long sequence) {
        return new SessionHeartbeat(sequence, 0, EndpointListVersion.NONE, 0);
    }

    private String text(Object message) {
        ByteBuffer frame = codec.encode(message);
        return new String(frame.array(), 0, frame.limit(), StandardCharsets.ISO_8859_1);
    }

    @Test
    void carriesMessagesBothWaysInOrder() throws Exception {
        FramedConnection outgoing = open(address(), OPEN_MS);
        assertEquals(outgoing, RecordingHandler.next(local.opened));
        FramedConnection accepted = RecordingHandler.next(remote.opened);
        byte[] large = new byte[1 << 20];
        OnLoop.run(loop, () -> {
            outgoing.send(heartbeat(1));
            outgoing.send(new FleetUpdate(large, 7, 0, null, null));
            outgoing.send(heartbeat(2));
            accepted.send(heartbeat(3));
        });
        assertEquals(1, remote.nextSequence());
        assertEquals(large.length, ((FleetUpdate) RecordingHandler.next(remote.messages)).configuration.length);
        assertEquals(2, remote.nextSequence());
        assertEquals(3, local.nextSequence());
        assertTrue(OnLoop.get(loop, () -> outgoing.isOpen() && accepted.isOpen()));
    }

    @Test
    void notifiesBothHandlersOfACloseOnce() throws Exception {
        FramedConnection outgoing = open(address(), OPEN_MS);
        RecordingHandler.next(local.opened);
        FramedConnection accepted = RecordingHandler.next(remote.opened);
        OnLoop.run(loop, () -> {
            outgoing.close();
            outgoing.close();
        });
        assertEquals(outgoing, RecordingHandler.next(local.closed));
        assertEquals(accepted, RecordingHandler.next(remote.closed));
        OnLoop.run(loop, () -> {
            outgoing.send(heartbeat(1)); // dropped
            accepted.send(heartbeat(2));
            accepted.close();
        });
        assertTrue(OnLoop.get(loop, () -> outgoing.isClosed() && accepted.isClosed() && !outgoing.isOpen()));
        assertTrue(local.closed.isEmpty() && remote.closed.isEmpty());
        assertTrue(local.messages.isEmpty() && remote.messages.isEmpty());
    }

    @Test
    void dropsMessagesSentBeforeItIsOpen() throws Exception {
        OnLoop.run(loop, () -> FramedConnection.open(loop, address(), OPEN_MS, codec, local)
                .send(heartbeat(1)));
        FramedConnection outgoing = RecordingHandler.next(local.opened);
        OnLoop.run(loop, () -> outgoing.send(heartbeat(2)));
        assertEquals(2, remote.nextSequence());
    }

    @Test
    void notifiesTheHandlerOfARefusedConnection() throws Exception {
        InetSocketAddress closedPort;
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            closedPort = (InetSocketAddress) socket.getLocalSocketAddress();
        }
        FramedConnection refused = open(closedPort, 30);
        assertEquals(refused, RecordingHandler.next(local.closed));
        OnLoop.waitMs(loop, 30);
        assertTrue(local.closed.isEmpty(), "the handler must not be notified again after the timeout");
        assertTrue(local.opened.isEmpty());
    }

    @Test
    void closesWhenItIsNotEstablishedWithinTheTimeout() throws Exception {
        try (ScriptedServer slowListener = ScriptedServer.withDelayedAccept(new LinkedBlockingQueue<>())) {
            FramedConnection connection = open(slowListener.address(), 30);
            assertEquals(connection, RecordingHandler.next(local.closed));
            slowListener.acceptConnections();
            assertTrue(OnLoop.get(loop, connection::isClosed));
            assertTrue(local.opened.isEmpty());
        }
    }

    @Test
    void isNeverOpenedAfterACloseDuringTheConnect() throws Exception {
        try (ScriptedServer slowListener = ScriptedServer.withDelayedAccept(new LinkedBlockingQueue<>())) {
            FramedConnection connection = open(slowListener.address(), OPEN_MS);
            OnLoop.run(loop, connection::close);
            assertEquals(connection, RecordingHandler.next(local.closed));
            slowListener.acceptConnections();
            slowListener.nextConnection().awaitClose();
            slowListener.nextConnection().awaitClose(); // the two connections that fill the server's backlog
            OnLoop.run(loop, () -> {});
            assertTrue(local.opened.isEmpty());
        }
    }

    @Test
    void decodesSplitAndCoalescedMessagesOneByOne() throws Exception {
        TestPeer peer = TestPeer.to(address());
        String first = text(heartbeat(1));
        peer.send(first.substring(0, 3));
        RecordingHandler.next(remote.opened);
        peer.send(first.substring(3) + text(heartbeat(2)) + text(heartbeat(3)).substring(0, 6));
        assertEquals(1, remote.nextSequence());
        assertEquals(2, remote.nextSequence());
        peer.send(text(heartbeat(3)).substring(6));
        assertEquals(3, remote.nextSequence());
    }

    @Test
    void closesOnACorruptFrame() throws Exception {
        for (String noise : List.of("GET / HTTP/1.1\r\n\r\n", "\0\0\0\0\177", "\377\377\377\377\0")) {
            TestPeer peer = TestPeer.to(address());
            peer.send(text(heartbeat(1)) + noise + text(heartbeat(2)));
            assertEquals(1, remote.nextSequence(), "the message before the corrupt frame must be received");
            assertEquals(RecordingHandler.next(remote.opened), RecordingHandler.next(remote.closed));
            assertEquals("", peer.readToEnd());
            assertNull(remote.messages.poll());
        }
    }

    @Test
    void aHandlerThatClosesTheConnectionReceivesNoFurtherMessage() throws Exception {
        remote.closesOnMessage = true;
        TestPeer peer = TestPeer.to(address());
        peer.send(text(heartbeat(1)) + text(heartbeat(2)));
        RecordingHandler.next(remote.closed);
        assertEquals(1, remote.nextSequence());
        assertTrue(remote.messages.isEmpty());
        assertTrue(remote.closed.isEmpty());
    }

    /** The number of unsent bytes to a peer that does not read is limited. */
    @Test
    void closesWhenAPeerDoesNotRead() throws Exception {
        try (ScriptedServer unresponsive = ScriptedServer.withoutReading()) {
            FramedConnection outgoing = open(unresponsive.address(), OPEN_MS);
            RecordingHandler.next(local.opened);
            FleetUpdate large = new FleetUpdate(new byte[4 << 20], 1, 0, null, null);
            for (int i = 0; i < 40 && !OnLoop.get(loop, outgoing::isClosed); i++) {
                OnLoop.run(loop, () -> outgoing.send(large));
            }
            assertTrue(OnLoop.get(loop, outgoing::isClosed));
            assertEquals(outgoing, RecordingHandler.next(local.closed));
            assertFalse(OnLoop.get(loop, outgoing::isOpen));
        }
    }

    @Test
    void sentBytesDoNotCountAsUnsent() throws Exception {
        FramedConnection outgoing = open(address(), OPEN_MS);
        RecordingHandler.next(local.opened);
        ByteBuffer frame = codec.encode(new FleetUpdate(new byte[4 << 20], 1, 0, null, null));
        for (int i = 0; i < 12; i++) { // in total more than the maximum number of unsent bytes
            OnLoop.run(loop, () -> outgoing.send(frame.duplicate()));
            RecordingHandler.next(remote.messages);
        }
        assertTrue(OnLoop.get(loop, outgoing::isOpen));
    }
}
