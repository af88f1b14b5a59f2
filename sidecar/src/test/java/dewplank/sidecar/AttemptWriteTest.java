package dewplank.sidecar;

import static dewplank.sidecar.ResponseAssertions.assertStatus;
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

/** Events between the balancer's decision to send an attempt and the complete write of its request. */
class AttemptWriteTest {
    /** Regression: a connect took long, and the retry was written after the deduplication window had ended. */
    @Test
    void aRetryIsNotWrittenAfterItsDeduplicationWindow() throws Exception {
        BalancerEventLatch listed = BalancerEventLatch.forUpdateOf("delayed");
        UnaryOperator<String> keyed = settings -> LoopbackNetwork.NO_CONNECT_TIMEOUT
                .apply(settings)
                .replace(
                        "\"Idempotency\":\"non_idempotent\"",
                        "\"Idempotency\":\"idempotency_key\",\"KeyScope\":\"all\",\"KeyTtl\":300");
        BalancerEventLatch reset = new BalancerEventLatch(event -> event instanceof AttemptEnded);
        try (LoopbackNetwork net = LoopbackNetwork.builder(1)
                        .settings(keyed)
                        .balancer(balancer -> reset.apply(listed.apply(balancer)))
                        .start();
                ScriptedPeer delayed = ScriptedPeer.withDelayedAccept()) {
            ReceivedRequest watch = net.beginWatch();
            Client client = net.client();
            client.send(Client.request("order-place", "Idempotency-Key: k\r\n"));
            ReceivedRequest first = net.servers.get(0).next();
            watch.sendLine(LoopbackNetwork.catalogJson(8, false, List.of(delayed.endpointJson("delayed", "active"))));
            listed.await();
            first.reset(); // the request may have run: its retry is sent to the other server, whose connection is not
            // established yet
            reset.await();
            net.callOnLoop(() -> null); // the connect has started by now
            delayed.startAccepting();
            assertStatus("503", client.read());
            assertNoRequestArrived(delayed);
        }
    }

    /** A connect may take longer than the grace period that follows the announcement of a drain. */
    @Test
    void aServerThatStartsToDrainDuringTheConnectGetsNoRequest() throws Exception {
        try (LoopbackNetwork net = LoopbackNetwork.builder(0)
                        .settings(LoopbackNetwork.NO_CONNECT_TIMEOUT)
                        .start();
                ScriptedPeer delayed = ScriptedPeer.withDelayedAccept()) {
            ReceivedRequest watch = beginWatchListing(net, delayed);
            Client client = net.client();
            client.awaitHealthStatus("200");
            Client order = net.client();
            order.sendRequest("order-place");
            net.awaitRequestAccepted();
            watch.sendLine(LoopbackNetwork.catalogJson(9, false, List.of(delayed.endpointJson("delayed", "leaving"))));
            client.awaitHealthStatus("503");
            delayed.startAccepting();
            assertStatus("503", order.read());
            assertConnectionsCloseWithoutRequest(delayed);
        }
    }

    /** The request must not be written even if attempts may not be cancelled: no attempt has been sent yet. */
    @Test
    void aRequestWhoseClientDisconnectsDuringTheConnectIsNotForwarded() throws Exception {
        BalancerEventLatch abandoned = new BalancerEventLatch(event -> event instanceof RequestAbandoned);
        UnaryOperator<String> withoutCancelling = settings -> LoopbackNetwork.NO_CONNECT_TIMEOUT
                .apply(settings)
                .replace("\"Cancelling\":true", "\"Cancelling\":false");
        try (LoopbackNetwork net = LoopbackNetwork.builder(0)
                        .settings(withoutCancelling)
                        .balancer(abandoned)
                        .start();
                ScriptedPeer delayed = ScriptedPeer.withDelayedAccept()) {
            beginWatchListing(net, delayed);
            net.client().awaitHealthStatus("200");
            Client client = net.client();
            client.sendRequest("order-place");
            net.awaitRequestAccepted();
            client.socket.close();
            abandoned.await();
            delayed.startAccepting();
            assertConnectionsCloseWithoutRequest(delayed);
        }
    }

    /** No request was written, so none has run: the client may retry even an order. */
    @Test
    void aRequestWhoseAttemptTimesOutDuringTheConnectIsRejected() throws Exception {
        try (LoopbackNetwork net = LoopbackNetwork.builder(0)
                        .settings(LoopbackNetwork.NO_CONNECT_TIMEOUT)
                        .start();
                ScriptedPeer delayed = ScriptedPeer.withDelayedAccept()) {
            beginWatchListing(net, delayed);
            net.client().awaitHealthStatus("200");
            Client client = net.client();
            client.send(Client.request("order-place", "").replace("5000", "300"));
            assertStatus("503", client.read());
        }
    }

    /**
     * The operating system has the complete request when the reset is handled. Only the completion of the write is
     * pending, because it is queued behind twenty other completions in one task.
     */
    @Test
    void aRequestMayHaveRunIfItsResetIsHandledBeforeTheCompletionOfItsWrite() throws Exception {
        BlockingQueue<Outcome> outcomes = new LinkedBlockingQueue<>();
        EventLoop loop = new EventLoop();
        try (ScriptedPeer server = new ScriptedPeer()) {
            ConnectionPool pool = new ConnectionPool(loop, 0, Double.POSITIVE_INFINITY);
            CompletableFuture<Connection> other = new CompletableFuture<>();
            loop.execute(() ->
                    Connection.open(loop, server.address(), new IgnoringHandler(), other::complete, failure -> {}));
            Connection otherConnection = other.get();
            loop.execute(() -> Connection.open(
                    loop,
                    server.address(),
                    new IgnoringHandler(),
                    connection -> {
                        for (int index = 0; index < 20; index++) {
                            otherConnection.write(ByteBuffer.wrap(new byte[] {'x'}), () -> {});
                        }
                        pool.put(connection, server.address());
                        HttpAttempt attempt = attempt(loop, server, pool, "GET /x HTTP/1.1\r\n\r\n", outcomes);
                        attempt.start(5_000, 0, Double.POSITIVE_INFINITY);
                        connection.close();
                        attempt.closed(null);
                    },
                    failure -> {}));
            assertEquals(Outcome.RESET, outcomes.take());
            assertTrue(server.next().message().startsWith("GET /x "));
        } finally {
            loop.stop();
        }
    }

    /** A server runs a request once its last byte has arrived: an earlier response belongs to another request. */
    @Test
    void aResponseBeforeTheRequestIsWrittenIsIgnored() throws Exception {
        BlockingQueue<Outcome> outcomes = new LinkedBlockingQueue<>();
        EventLoop loop = new EventLoop();
        try (ScriptedPeer server = new ScriptedPeer()) {
            String more = "x".repeat(32 << 20); // more than the system buffers for a peer that does not read
            loop.execute(() -> attempt(
                            loop,
                            server,
                            new ConnectionPool(loop, 0, Double.POSITIVE_INFINITY),
                            "GET /x HTTP/1.1\r\n\r\n" + more,
                            outcomes)
                    .start(5_000, 0, Double.POSITIVE_INFINITY));
            server.next().respond("200 OK", "another's");
            assertEquals(Outcome.CONNECT_FAILED, outcomes.take());
        } finally {
            loop.stop();
        }
    }

    /** Between two sweeps, a connection may exceed the idle timeout of the server. It is not reused then. */
    @Test
    void aConnectionThatTheServerIsAboutToCloseIsNotReused() throws Exception {
        try (LoopbackNetwork net = LoopbackNetwork.builder(1)
                .settings(settings -> settings.replace("\"IdleClose\":60000", "\"IdleClose\":50"))
                .start()) {
            Client client = net.client();
            client.sendRequest("menu-read");
            ReceivedRequest first = net.servers.get(0).next();
            first.respond("200 OK", "");
            assertStatus("200", client.read());
            CountDownLatch aged = new CountDownLatch(1);
            net.callOnLoop(() -> net.sidecar.loop().after(50, aged::countDown));
            aged.await();
            client.sendRequest("menu-read");
            ReceivedRequest second = net.servers.get(0).nextRequest();
            assertNotSame(first.connection(), second.connection());
            second.respond("200 OK", "");
            assertStatus("200", client.read());
        }
    }

    /** Some servers send a response twice, the second time some milliseconds later. */
    @Test
    void aConnectionIsNotReusedUntilADuplicateResponseWouldHaveArrived() throws Exception {
        EventLoop loop = new EventLoop();
        try (ScriptedPeer server = new ScriptedPeer()) {
            CompletableFuture<Connection> connected = new CompletableFuture<>();
            loop.execute(() ->
                    Connection.open(loop, server.address(), new IgnoringHandler(), connected::complete, failure -> {}));
            Connection connection = connected.get();
            ConnectionPool reuseDelayed = new ConnectionPool(loop, 60_000, Double.POSITIVE_INFINITY);
            ConnectionPool reusable = new ConnectionPool(loop, 0, Double.POSITIVE_INFINITY);
            CompletableFuture<Void> done = new CompletableFuture<>();
            loop.execute(() -> {
                try {
                    reuseDelayed.put(connection, server.address());
                    assertNull(reuseDelayed.take(server.address()));
                    assertEquals(1, reuseDelayed.size());
                    reusable.put(connection, server.address());
                    assertSame(connection, reusable.take(server.address()));
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
            EventLoop loop, ScriptedPeer server, ConnectionPool pool, String request, BlockingQueue<Outcome> outcomes) {
        return new HttpAttempt(
                loop,
                server.address(),
                pool,
                ByteBuffer.wrap(request.getBytes(StandardCharsets.US_ASCII)),
                () -> true,
                (attempt, end) -> outcomes.add(end.outcome()));
    }

    private static ReceivedRequest beginWatchListing(LoopbackNetwork net, ScriptedPeer delayed) throws Exception {
        ReceivedRequest watch = net.beginWatch();
        watch.sendLine(LoopbackNetwork.catalogJson(8, false, List.of(delayed.endpointJson("delayed", "active"))));
        return watch;
    }

    /** The two connections that filled the backlog and the sidecar's connection close without a request. */
    private static void assertConnectionsCloseWithoutRequest(ScriptedPeer delayed) throws Exception {
        for (int index = 0; index < 3; index++) {
            assertNull(delayed.next().message());
        }
    }

    /** The connect was cancelled: a request on that connection would arrive before this marker. */
    private static void assertNoRequestArrived(ScriptedPeer delayed) throws Exception {
        try (Socket marker =
                new Socket(delayed.address().getAddress(), delayed.address().getPort())) {
            marker.getOutputStream().write("GET /mark HTTP/1.1\r\n\r\n".getBytes(StandardCharsets.US_ASCII));
            String first = delayed.nextRequest().message();
            assertTrue(first.startsWith("GET /mark "), first);
        }
    }

    private static final class IgnoringHandler implements Connection.Handler {
        @Override
        public void received(ByteBuffer bytes) {
            bytes.position(bytes.limit());
        }

        @Override
        public void closed(IOException cause) {}
    }
}
