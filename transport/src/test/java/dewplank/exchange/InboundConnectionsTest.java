package dewplank.exchange;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;

import dewplank.net.EventLoop;
import dewplank.net.Listener;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** At the limit of a listener, connections that wait are closed for those that send a request. */
class InboundConnectionsTest {
    private static final int MAX_CONNECTIONS = 4;
    private static final String REQUEST = "GET / HTTP/1.1\r\nHost: h\r\n\r\n";
    private static final double WITHOUT_ACCEPT_MS = 300;

    private volatile double minIdleMs = 100;
    private final InboundConnections connections = new InboundConnections();
    private final BlockingQueue<InboundConnection> held = new LinkedBlockingQueue<>();
    private final List<TestPeer> peers = new ArrayList<>();
    private EventLoop loop;
    private Listener listener;

    /** Responds to all requests but those for {@code /held}. */
    private final InboundConnection.Service service = new InboundConnection.Service() {
        @Override
        public void handle(InboundConnection.Request request, InboundConnection connection) {
            if (request.target().equals("/held")) {
                held.add(connection);
            } else {
                connection.respond(200);
            }
        }

        @Override
        public void clientDisconnected(InboundConnection connection) {}
    };

    @BeforeEach
    void setUp() throws IOException {
        loop = new EventLoop();
        listener = new Listener(
                loop,
                new InetSocketAddress(InetAddress.getLoopbackAddress(), 0),
                MAX_CONNECTIONS,
                () -> connections.open(loop, service),
                () -> connections.closeLongestWaiting(loop.now(), minIdleMs));
        loop.execute(listener::accept);
    }

    @AfterEach
    void tearDown() throws IOException {
        for (TestPeer peer : peers) {
            peer.close();
        }
        loop.stop();
    }

    private TestPeer client() throws IOException {
        TestPeer client = TestPeer.to((InetSocketAddress) listener.address());
        peers.add(client);
        return client;
    }

    private void fillWith(String bytes) throws Exception {
        for (int i = 0; i < MAX_CONNECTIONS; i++) {
            client().send(bytes);
        }
        OnLoop.await(loop, () -> connections.size() == MAX_CONNECTIONS);
    }

    private void assertServed() throws IOException {
        TestPeer client = client();
        client.send(REQUEST);
        assertEquals(200, client.read().status());
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "",
                "GET / HTTP/1.1\r\nHost",
                "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 9\r\n\r\nhalf",
                REQUEST
            })
    void aClientIsServedWhileOthersWait(String bytes) throws Exception {
        fillWith(bytes);
        for (int i = 0; i < 2 * MAX_CONNECTIONS; i++) {
            assertServed();
        }
    }

    @Test
    void theOneThatWaitsLongestIsClosedFirst() throws Exception {
        TestPeer first = clientWithHalfHead();
        InboundConnection firstConnection = connections.all().get(0);
        TestPeer second = clientWithHalfHead();
        client();
        client();
        OnLoop.await(loop, () -> connections.size() == MAX_CONNECTIONS);
        OnLoop.waitMs(loop, InboundConnections.MIN_INCOMPLETE_WAIT_MS);
        double activeAt = OnLoop.get(loop, firstConnection::lastActiveAt);
        first.send("Host: h\r\n");
        OnLoop.await(loop, () -> firstConnection.lastActiveAt() > activeAt);
        assertServed();
        assertEquals("", second.readToEnd());
        first.send("\r\n");
        assertEquals(200, first.read().status());
    }

    /** Clients may use a connection again for some time after a response. */
    @Test
    void aConnectionThatMayBeUsedAgainStaysOpen() throws Exception {
        minIdleMs = Double.POSITIVE_INFINITY;
        fillWith(REQUEST);
        OnLoop.await(loop, () -> connections.all().stream().allMatch(InboundConnection::hasResponded));
        TestPeer waiting = client();
        waiting.send(REQUEST);
        OnLoop.waitMs(loop, WITHOUT_ACCEPT_MS);
        for (TestPeer peer : peers.subList(0, MAX_CONNECTIONS)) {
            assertEquals(200, peer.read().status());
            peer.send(REQUEST);
            assertEquals(200, peer.read().status());
        }
        peers.get(0).close();
        assertEquals(200, waiting.read().status());
    }

    private TestPeer clientWithHalfHead() throws Exception {
        int others = OnLoop.get(loop, connections::size);
        TestPeer client = client();
        client.send("GET / HTTP/1.1\r\n");
        OnLoop.await(
                loop,
                () -> connections.size() > others
                        && connections.all().stream().allMatch(InboundConnection::hasPartialRequest));
        return client;
    }

    /** A request in progress is never ended to make room; the next client is accepted once one has ended. */
    @Test
    void aConnectionWithARequestInProgressStaysOpen() throws Exception {
        fillWith("GET /held HTTP/1.1\r\nHost: h\r\n\r\n");
        List<InboundConnection> inProgress = new ArrayList<>();
        for (int i = 0; i < MAX_CONNECTIONS; i++) {
            inProgress.add(held.poll(TestPeer.TIMEOUT_S, TimeUnit.SECONDS));
        }
        TestPeer waiting = client();
        waiting.send("GET /held HTTP/1.1\r\nHost: h\r\n\r\n");
        OnLoop.waitMs(loop, WITHOUT_ACCEPT_MS);
        assertNull(held.poll());
        OnLoop.run(loop, () -> inProgress.get(0).respond(200));
        assertEquals(200, peers.get(0).read().status());
        InboundConnection admitted = held.poll(TestPeer.TIMEOUT_S, TimeUnit.SECONDS);
        OnLoop.run(loop, () -> admitted.respond(200));
        assertEquals(200, waiting.read().status());
        OnLoop.run(loop, () -> inProgress.get(1).respond(200));
        assertEquals(200, peers.get(1).read().status());
    }
}
