package dewplank.message;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dewplank.exchange.OnLoop;
import dewplank.exchange.ScriptedServer;
import dewplank.exchange.Wire;
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
    private final Heard here = new Heard();
    private final Heard there = new Heard();

    /** What one end has heard. */
    private static final class Heard implements MessageLink.Handler {
        private final BlockingQueue<FramedConnection> opened = new LinkedBlockingQueue<>();
        private final BlockingQueue<Object> messages = new LinkedBlockingQueue<>();
        private final BlockingQueue<FramedConnection> closed = new LinkedBlockingQueue<>();
        private volatile boolean endsAtOnce;

        @Override
        public void opened(MessageLink connection) {
            opened.add((FramedConnection) connection);
        }

        @Override
        public void received(MessageLink connection, Object message) {
            messages.add(message);
            if (endsAtOnce) {
                connection.close();
            }
        }

        @Override
        public void closed(MessageLink connection) {
            closed.add((FramedConnection) connection);
        }

        private static <T> T next(BlockingQueue<T> from) throws InterruptedException {
            T next = from.poll(Wire.PATIENCE_S, TimeUnit.SECONDS);
            assertNotNull(next, "nothing came");
            return next;
        }

        long nextSequence() throws InterruptedException {
            return ((SessionHeartbeat) next(messages)).sequence;
        }
    }

    @BeforeEach
    void begin() throws IOException {
        loop = new EventLoop();
        listener = new Listener(
                loop,
                new InetSocketAddress(InetAddress.getLoopbackAddress(), 0),
                10,
                () -> new FramedConnection(codec, there));
        loop.execute(listener::accept);
    }

    @AfterEach
    void end() {
        loop.stop();
    }

    private InetSocketAddress address() throws IOException {
        return (InetSocketAddress) listener.address();
    }

    private FramedConnection open(InetSocketAddress to, double timeoutMs) throws Exception {
        return OnLoop.get(loop, () -> FramedConnection.open(loop, to, timeoutMs, codec, here));
    }

    private static SessionHeartbeat question(long sequence) {
        return new SessionHeartbeat(sequence, 0, EndpointListVersion.NONE, 0);
    }

    private String text(Object message) {
        ByteBuffer frame = codec.encode(message);
        return new String(frame.array(), 0, frame.limit(), StandardCharsets.ISO_8859_1);
    }

    @Test
    void messagesGoBothWaysInOrder() throws Exception {
        FramedConnection dialled = open(address(), OPEN_MS);
        assertEquals(dialled, Heard.next(here.opened));
        FramedConnection accepted = Heard.next(there.opened);
        byte[] large = new byte[1 << 20];
        OnLoop.run(loop, () -> {
            dialled.send(question(1));
            dialled.send(new FleetUpdate(large, 7, 0, null, null));
            dialled.send(question(2));
            accepted.send(question(3));
        });
        assertEquals(1, there.nextSequence());
        assertEquals(large.length, ((FleetUpdate) Heard.next(there.messages)).configuration.length);
        assertEquals(2, there.nextSequence());
        assertEquals(3, here.nextSequence());
        assertTrue(OnLoop.get(loop, () -> dialled.isOpen() && accepted.isOpen()));
    }

    @Test
    void anEndIsToldOnceAtBothEnds() throws Exception {
        FramedConnection dialled = open(address(), OPEN_MS);
        Heard.next(here.opened);
        FramedConnection accepted = Heard.next(there.opened);
        OnLoop.run(loop, () -> {
            dialled.close();
            dialled.close();
        });
        assertEquals(dialled, Heard.next(here.closed));
        assertEquals(accepted, Heard.next(there.closed));
        OnLoop.run(loop, () -> {
            dialled.send(question(1)); // lost
            accepted.send(question(2));
            accepted.close();
        });
        assertTrue(OnLoop.get(loop, () -> dialled.isClosed() && accepted.isClosed() && !dialled.isOpen()));
        assertTrue(here.closed.isEmpty() && there.closed.isEmpty());
        assertTrue(here.messages.isEmpty() && there.messages.isEmpty());
    }

    @Test
    void nothingIsSentBeforeItIsOpenNorRemembered() throws Exception {
        OnLoop.run(loop, () -> FramedConnection.open(loop, address(), OPEN_MS, codec, here)
                .send(question(1)));
        FramedConnection dialled = Heard.next(here.opened);
        OnLoop.run(loop, () -> dialled.send(question(2)));
        assertEquals(2, there.nextSequence());
    }

    @Test
    void oneThatCannotBeOpenedIsToldOf() throws Exception {
        InetSocketAddress nobody;
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            nobody = (InetSocketAddress) socket.getLocalSocketAddress();
        }
        FramedConnection refused = open(nobody, 30);
        assertEquals(refused, Heard.next(here.closed));
        OnLoop.pass(loop, 30);
        assertTrue(here.closed.isEmpty(), "told once, not at its time-out too");
        assertTrue(here.opened.isEmpty());
    }

    @Test
    void oneThatDoesNotComeUpInTimeIsGivenUp() throws Exception {
        try (ScriptedServer late = ScriptedServer.late(new LinkedBlockingQueue<>())) {
            FramedConnection given = open(late.address(), 30);
            assertEquals(given, Heard.next(here.closed));
            late.letIn();
            assertTrue(OnLoop.get(loop, given::isClosed));
            assertTrue(here.opened.isEmpty());
        }
    }

    @Test
    void oneThatIsEndedBeforeItComesUpIsNeverOpened() throws Exception {
        try (ScriptedServer late = ScriptedServer.late(new LinkedBlockingQueue<>())) {
            FramedConnection given = open(late.address(), OPEN_MS);
            OnLoop.run(loop, given::close);
            assertEquals(given, Heard.next(here.closed));
            late.letIn();
            late.nextConnection().awaitEnd();
            late.nextConnection().awaitEnd(); // the crowd's
            OnLoop.run(loop, () -> {});
            assertTrue(here.opened.isEmpty());
        }
    }

    @Test
    void messagesInPiecesAndBunchesAreTakenOneByOne() throws Exception {
        Wire peer = Wire.to(address());
        String first = text(question(1));
        peer.send(first.substring(0, 3));
        Heard.next(there.opened);
        peer.send(first.substring(3) + text(question(2)) + text(question(3)).substring(0, 6));
        assertEquals(1, there.nextSequence());
        assertEquals(2, there.nextSequence());
        peer.send(text(question(3)).substring(6));
        assertEquals(3, there.nextSequence());
    }

    @Test
    void aBadFrameEndsTheConnection() throws Exception {
        for (String noise : List.of("GET / HTTP/1.1\r\n\r\n", "\0\0\0\0\177", "\377\377\377\377\0")) {
            Wire peer = Wire.to(address());
            peer.send(text(question(1)) + noise + text(question(2)));
            assertEquals(1, there.nextSequence(), "what came before it counts");
            assertEquals(Heard.next(there.opened), Heard.next(there.closed));
            assertEquals("", peer.readToEnd());
            assertNull(there.messages.poll());
        }
    }

    @Test
    void whoEndsWithinAMessageHearsNoFurtherOne() throws Exception {
        there.endsAtOnce = true;
        Wire peer = Wire.to(address());
        peer.send(text(question(1)) + text(question(2)));
        Heard.next(there.closed);
        assertEquals(1, there.nextSequence());
        assertTrue(there.messages.isEmpty());
        assertTrue(there.closed.isEmpty());
    }

    /** A peer that reads nothing: what waits for it is bounded. */
    @Test
    void aPeerThatIsStuckIsLeft() throws Exception {
        try (ScriptedServer stuck = ScriptedServer.raw()) {
            FramedConnection dialled = open(stuck.address(), OPEN_MS);
            Heard.next(here.opened);
            FleetUpdate large = new FleetUpdate(new byte[4 << 20], 1, 0, null, null);
            for (int i = 0; i < 40 && !OnLoop.get(loop, dialled::isClosed); i++) {
                OnLoop.run(loop, () -> dialled.send(large));
            }
            assertTrue(OnLoop.get(loop, dialled::isClosed));
            assertEquals(dialled, Heard.next(here.closed));
            assertFalse(OnLoop.get(loop, dialled::isOpen));
        }
    }

    @Test
    void bytesThatHaveGoneOutDoNotCount() throws Exception {
        FramedConnection dialled = open(address(), OPEN_MS);
        Heard.next(here.opened);
        ByteBuffer frame = codec.encode(new FleetUpdate(new byte[4 << 20], 1, 0, null, null));
        for (int i = 0; i < 12; i++) { // more than may wait at once
            OnLoop.run(loop, () -> dialled.send(frame.duplicate()));
            Heard.next(there.messages);
        }
        assertTrue(OnLoop.get(loop, dialled::isOpen));
    }
}
