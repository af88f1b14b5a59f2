package dewplank.exchange;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertSame;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dewplank.net.Connection;
import dewplank.net.EventLoop;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Which idle connection is reused, and when idle connections are closed. */
class ConnectionPoolTest {
    private static final double MAX_IDLE_MS = 60_000;

    private final ManualClock clock = new ManualClock();
    private EventLoop loop;
    private ScriptedServer server;

    /** Both ends of a connection. */
    private record ConnectedPair(Connection client, TestPeer server) {}

    @BeforeEach
    void setUp() throws IOException {
        loop = new EventLoop();
        server = new ScriptedServer();
    }

    @AfterEach
    void tearDown() throws IOException {
        server.close();
        loop.stop();
    }

    private ConnectedPair connect() throws Exception {
        CompletableFuture<Connection> connected = new CompletableFuture<>();
        loop.execute(() -> Connection.open(
                loop,
                server.address(),
                new Connection.Handler() {
                    @Override
                    public void received(ByteBuffer bytes) {
                        bytes.position(bytes.limit());
                    }

                    @Override
                    public void closed(IOException cause) {}
                },
                connected::complete,
                connected::completeExceptionally));
        return new ConnectedPair(connected.get(TestPeer.TIMEOUT_S, TimeUnit.SECONDS), server.nextConnection());
    }

    private void put(ConnectionPool pool, ConnectedPair... pairs) throws Exception {
        for (ConnectedPair pair : pairs) {
            OnLoop.run(loop, () -> pool.put(pair.client(), server.address()));
        }
    }

    private Connection take(ConnectionPool pool) throws Exception {
        return OnLoop.get(loop, () -> pool.take(server.address()));
    }

    @Test
    void theMostRecentlyUsedConnectionIsTakenFirst() throws Exception {
        ConnectionPool pool = new ConnectionPool(clock, 0, MAX_IDLE_MS);
        ConnectedPair first = connect();
        ConnectedPair second = connect();
        put(pool, first, second);
        assertSame(second.client(), take(pool));
        assertSame(first.client(), take(pool));
        assertNull(take(pool));
    }

    @Test
    void aConnectionWithinItsReuseDelayIsSkipped() throws Exception {
        ConnectionPool pool = new ConnectionPool(clock, 200, MAX_IDLE_MS);
        ConnectedPair reusable = connect();
        put(pool, reusable);
        clock.advance(200);
        ConnectedPair fresh = connect();
        put(pool, fresh);
        assertSame(reusable.client(), take(pool));
        assertNull(take(pool));
        assertEquals(1, pool.size());
    }

    @Test
    void aConnectionIdleForTooLongIsClosed() throws Exception {
        ConnectionPool pool = new ConnectionPool(clock, 0, 30);
        ConnectedPair old = connect();
        put(pool, old);
        clock.advance(30);
        assertNull(take(pool));
        old.server().awaitClose();
    }

    @Test
    void aConnectionPastItsIdleTimeIsClosedRegardlessOfItsPosition() throws Exception {
        ConnectionPool pool = new ConnectionPool(clock, 0, MAX_IDLE_MS);
        ConnectedPair unlimited = connect();
        ConnectedPair limited = connect();
        ConnectedPair last = connect();
        put(pool, unlimited);
        OnLoop.run(loop, () -> pool.put(limited.client(), server.address(), 20));
        put(pool, last);
        clock.advance(20);
        OnLoop.run(loop, pool::closeExpired);
        limited.server().awaitClose();
        assertEquals(2, pool.size());
        assertSame(last.client(), take(pool));
        assertSame(unlimited.client(), take(pool));
    }

    @Test
    void aConnectionToAnEarlierAddressIsClosed() throws Exception {
        ConnectionPool pool = new ConnectionPool(clock, 0, MAX_IDLE_MS);
        ConnectedPair old = connect();
        put(pool, old);
        try (ScriptedServer otherServer = new ScriptedServer()) {
            assertNull(OnLoop.get(loop, () -> pool.take(otherServer.address())));
        }
        old.server().awaitClose();
        assertEquals(0, pool.size());
    }

    @Test
    void aConnectionThatItsServerClosesOrWritesToIsRemoved() throws Exception {
        ConnectionPool pool = new ConnectionPool(clock, 0, MAX_IDLE_MS);
        ConnectedPair ended = connect();
        ConnectedPair writtenTo = connect();
        put(pool, ended, writtenTo);
        ended.server().close();
        OnLoop.await(loop, () -> pool.size() == 1);
        writtenTo.server().send("HTTP/1.1 408 Request Timeout\r\n\r\n");
        writtenTo.server().awaitClose();
        OnLoop.await(loop, () -> pool.size() == 0);
        assertNull(take(pool));
    }

    @Test
    void aClosedPoolClosesReturnedConnections() throws Exception {
        ConnectionPool pool = new ConnectionPool(clock, 0, MAX_IDLE_MS);
        ConnectedPair idle = connect();
        ConnectedPair used = connect();
        put(pool, idle);
        OnLoop.run(loop, pool::close);
        idle.server().awaitClose();
        put(pool, used); // its call completes after the pool is closed
        used.server().awaitClose();
        assertEquals(0, pool.size());
    }

    @Test
    void theOldestConnectionIsClosedFirst() throws Exception {
        ConnectionPool pool = new ConnectionPool(clock, 0, MAX_IDLE_MS);
        ConnectedPair first = connect();
        ConnectedPair second = connect();
        put(pool, first, second);
        assertTrue(OnLoop.get(loop, pool::closeOldest));
        first.server().awaitClose();
        assertTrue(OnLoop.get(loop, pool::closeOldest));
        second.server().awaitClose();
        assertEquals(false, OnLoop.get(loop, pool::closeOldest));
    }
}
