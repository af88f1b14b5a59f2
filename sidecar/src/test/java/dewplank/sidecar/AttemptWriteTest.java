package dewplank.sidecar;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotSame;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertSame;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dewplank.balancer.Event.AttemptEnded;
import dewplank.balancer.Event.RequestAbandoned;
import dewplank.balancer.Outcome;
import dewplank.exchange.ConnectionPool;
import dewplank.net.Connection;
import dewplank.net.EventLoop;
import dewplank.sidecar.LoopbackNetwork.Client;
import dewplank.sidecar.LoopbackNetwork.ReceivedRequest;
import dewplank.sidecar.LoopbackNetwork.ScriptedPeer;
import java.io.IOException;
import java.net.Socket;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.function.UnaryOperator;
import org.junit.jupiter.api.Test;

/** What may change between the decision to send and the writing: each crossing in the order that does harm. */
class AttemptWriteTest {
    /** Found on a zone day: a connection took long to come up, and the repeat was written past the window. */
    @Test
    void aRepeatIsNotWrittenOnceItsWindowIsOver() throws Exception {
        BalancerEventLatch listed = BalancerEventLatch.forUpdateOf("late");
        UnaryOperator<String> keyed = s -> LoopbackNetwork.NO_CONNECT_TIMEOUT
                .apply(s)
                .replace(
                        "\"Idempotency\":\"non_idempotent\"",
                        "\"Idempotency\":\"idempotency_key\",\"KeyScope\":\"all\",\"KeyTtl\":300");
        BalancerEventLatch reset = new BalancerEventLatch(e -> e instanceof AttemptEnded);
        try (LoopbackNetwork net = new LoopbackNetwork(1, keyed, m -> reset.apply(listed.apply(m)));
                ScriptedPeer late = ScriptedPeer.withDelayedAccept()) {
            ReceivedRequest watch = net.beginWatch();
            Client client = net.client();
            client.send(Client.request("order-place", "Idempotency-Key: k\r\n"));
            ReceivedRequest first = net.servers.get(0).next();
            watch.sendLine(LoopbackNetwork.catalogJson(8, false, List.of(late.endpointJson("late", "active"))));
            listed.await();
            first.reset(); // it may have run: the repeat goes to the other server, whose connection is not up yet
            reset.await();
            BalancerEventLatch.callOnLoop(net, () -> null); // by now the connection is requested
            late.startAccepting();
            assertStatus("503", client.read());
            assertNothingCame(late);
        }
    }

    /** The time that it may take to come up can be longer than the grace period after a drain was announced. */
    @Test
    void aServerThatDrainsWhileConnectingGetsNoRequest() throws Exception {
        try (LoopbackNetwork net = new LoopbackNetwork(0, LoopbackNetwork.NO_CONNECT_TIMEOUT, m -> m);
                ScriptedPeer late = ScriptedPeer.withDelayedAccept()) {
            ReceivedRequest watch = listOf(net, late);
            Client client = net.client();
            BalancerEventLatch.awaitHealthStatus(client, "200");
            Client order = net.client();
            order.sendRequest("order-place");
            BalancerEventLatch.awaitRequestAccepted(net);
            watch.sendLine(LoopbackNetwork.catalogJson(9, false, List.of(late.endpointJson("late", "leaving"))));
            BalancerEventLatch.awaitHealthStatus(client, "503");
            late.startAccepting();
            assertStatus("503", order.read());
            assertItsConnectionEndsUnused(late);
        }
    }

    /** Where nothing may be cancelled as well: what was never written is not an attempt yet. */
    @Test
    void aClientThatDisconnectsWhileConnectingIsNotForwarded() throws Exception {
        BalancerEventLatch abandoned = new BalancerEventLatch(e -> e instanceof RequestAbandoned);
        UnaryOperator<String> fixed =
                s -> LoopbackNetwork.NO_CONNECT_TIMEOUT.apply(s).replace("\"Cancelling\":true", "\"Cancelling\":false");
        try (LoopbackNetwork net = new LoopbackNetwork(0, fixed, abandoned);
                ScriptedPeer late = ScriptedPeer.withDelayedAccept()) {
            listOf(net, late);
            BalancerEventLatch.awaitHealthStatus(net.client(), "200");
            Client client = net.client();
            client.sendRequest("order-place");
            BalancerEventLatch.awaitRequestAccepted(net);
            client.socket.close();
            abandoned.await();
            late.startAccepting();
            assertItsConnectionEndsUnused(late);
        }
    }

    /** Nothing was written, so nothing ran: the client may try again, and an order too. */
    @Test
    void aTimeoutBeforeTheConnectionIsUpIsRejected() throws Exception {
        try (LoopbackNetwork net = new LoopbackNetwork(0, LoopbackNetwork.NO_CONNECT_TIMEOUT, m -> m);
                ScriptedPeer late = ScriptedPeer.withDelayedAccept()) {
            listOf(net, late);
            BalancerEventLatch.awaitHealthStatus(net.client(), "200");
            Client client = net.client();
            client.send(Client.request("order-place", "").replace("5000", "300"));
            assertStatus("503", client.read());
        }
    }

    /**
     * The system has the complete request when the reset is seen, and only the write's completion is still to come: so
     * it is after some twenty completions in one task, from where on they wait in line.
     */
    @Test
    void aResetSeenBeforeTheWritesCompletionProvesNothing() throws Exception {
        BlockingQueue<Outcome> ends = new LinkedBlockingQueue<>();
        EventLoop loop = new EventLoop();
        try (ScriptedPeer server = new ScriptedPeer()) {
            ConnectionPool pool = new ConnectionPool(loop, 0, Double.POSITIVE_INFINITY);
            CompletableFuture<Connection> other = new CompletableFuture<>();
            loop.execute(() -> Connection.open(loop, server.address(), new Ignored(), other::complete, e -> {}));
            Connection many = other.get();
            loop.execute(() -> Connection.open(
                    loop,
                    server.address(),
                    new Ignored(),
                    up -> {
                        for (int i = 0; i < 20; i++) {
                            many.write(ByteBuffer.wrap(new byte[] {'x'}), () -> {});
                        }
                        pool.put(up, server.address());
                        HttpAttempt attempt = attempt(loop, server, pool, "GET /x HTTP/1.1\r\n\r\n", ends);
                        attempt.start(5_000, 0, Double.POSITIVE_INFINITY);
                        up.close();
                        attempt.closed(null);
                    },
                    e -> {}));
            assertEquals(Outcome.RESET, ends.take());
            assertTrue(server.next().message().startsWith("GET /x "));
        } finally {
            loop.stop();
        }
    }

    /** A server begins a request with its last byte: what it says before that answers something else. */
    @Test
    void aResponseBeforeTheRequestIsWrittenIsNotItsResponse() throws Exception {
        BlockingQueue<Outcome> ends = new LinkedBlockingQueue<>();
        EventLoop loop = new EventLoop();
        try (ScriptedPeer server = new ScriptedPeer()) {
            String more = "x".repeat(32 << 20); // beyond all that the system holds for a peer that does not read
            loop.execute(() -> attempt(
                            loop,
                            server,
                            new ConnectionPool(loop, 0, Double.POSITIVE_INFINITY),
                            "GET /x HTTP/1.1\r\n\r\n" + more,
                            ends)
                    .start(5_000, 0, Double.POSITIVE_INFINITY));
            server.next().respond("200 OK", "another's");
            assertEquals(Outcome.CONNECT_FAILED, ends.take());
        } finally {
            loop.stop();
        }
    }

    /** Between two sweeps a connection may get older than the server lets it: it is not used again. */
    @Test
    void aConnectionThatTheServerIsAboutToCloseIsNotReused() throws Exception {
        try (LoopbackNetwork net =
                new LoopbackNetwork(1, s -> s.replace("\"IdleClose\":60000", "\"IdleClose\":50"), m -> m)) {
            Client client = net.client();
            client.sendRequest("menu-read");
            ReceivedRequest first = net.servers.get(0).next();
            first.respond("200 OK", "");
            assertTrue(client.read().startsWith("HTTP/1.1 200"));
            CountDownLatch old = new CountDownLatch(1);
            BalancerEventLatch.callOnLoop(net, () -> net.sidecar.loop().after(50, old::countDown));
            old.await();
            client.sendRequest("menu-read");
            ReceivedRequest second = net.servers.get(0).nextRequest();
            assertNotSame(first.connection(), second.connection());
            second.respond("200 OK", "");
            assertTrue(client.read().startsWith("HTTP/1.1 200"));
        }
    }

    /** Seen on a join day: some servers answer twice, the second time some milliseconds later. */
    @Test
    void aConnectionIsNotReusedUntilADuplicateResponseWouldHaveCome() throws Exception {
        EventLoop loop = new EventLoop();
        try (ScriptedPeer server = new ScriptedPeer()) {
            CompletableFuture<Connection> up = new CompletableFuture<>();
            loop.execute(() -> Connection.open(loop, server.address(), new Ignored(), up::complete, e -> {}));
            Connection connection = up.get();
            ConnectionPool resting = new ConnectionPool(loop, 60_000, Double.POSITIVE_INFINITY);
            ConnectionPool rested = new ConnectionPool(loop, 0, Double.POSITIVE_INFINITY);
            CompletableFuture<Void> done = new CompletableFuture<>();
            loop.execute(() -> {
                try {
                    resting.put(connection, server.address());
                    assertNull(resting.take(server.address()));
                    assertEquals(1, resting.size());
                    rested.put(connection, server.address());
                    assertSame(connection, rested.take(server.address()));
                    done.complete(null);
                } catch (AssertionError e) {
                    done.completeExceptionally(e);
                }
            });
            done.get(20, TimeUnit.SECONDS);
        } finally {
            loop.stop();
        }
    }

    private static HttpAttempt attempt(
            EventLoop loop, ScriptedPeer server, ConnectionPool pool, String request, BlockingQueue<Outcome> ends) {
        return new HttpAttempt(
                loop,
                server.address(),
                pool,
                ByteBuffer.wrap(request.getBytes(StandardCharsets.US_ASCII)),
                () -> true,
                (a, end) -> ends.add(end.outcome()));
    }

    private static ReceivedRequest listOf(LoopbackNetwork net, ScriptedPeer late) throws Exception {
        ReceivedRequest watch = net.beginWatch();
        watch.sendLine(LoopbackNetwork.catalogJson(8, false, List.of(late.endpointJson("late", "active"))));
        return watch;
    }

    /** The crowd's two connections end, and the sidecar's: none brings a request. */
    private static void assertItsConnectionEndsUnused(ScriptedPeer late) throws Exception {
        for (int i = 0; i < 3; i++) {
            assertNull(late.next().message());
        }
    }

    /** The connection was given up before it came up: a mark set now would come after a request on it. */
    private static void assertNothingCame(ScriptedPeer late) throws Exception {
        try (Socket mark =
                new Socket(late.address().getAddress(), late.address().getPort())) {
            mark.getOutputStream().write("GET /mark HTTP/1.1\r\n\r\n".getBytes(StandardCharsets.US_ASCII));
            String first = late.nextRequest().message();
            assertTrue(first.startsWith("GET /mark "), first);
        }
    }

    private static void assertStatus(String status, String answer) {
        assertEquals("HTTP/1.1 " + status, answer.substring(0, Math.min(12, answer.length())), answer);
    }

    private static final class Ignored implements Connection.Handler {
        @Override
        public void received(ByteBuffer bytes) {
            bytes.position(bytes.limit());
        }

        @Override
        public void closed(IOException why) {}
    }
}
