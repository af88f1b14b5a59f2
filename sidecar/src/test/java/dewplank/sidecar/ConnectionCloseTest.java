package dewplank.sidecar;

import static dewplank.sidecar.ResponseAssertions.assertStatus;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dewplank.balancer.Outcome;
import dewplank.exchange.ConnectionPool;
import dewplank.net.EventLoop;
import dewplank.sidecar.LoopbackNetwork.Client;
import dewplank.sidecar.LoopbackNetwork.ReceivedRequest;
import dewplank.sidecar.LoopbackNetwork.ScriptedPeer;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.Callable;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import org.junit.jupiter.api.Test;

/** Requests that arrive while their connection closes, and attempts with two simultaneous outcomes, in either order. */
class ConnectionCloseTest {
    private static final int TIMEOUT_S = 20;

    /** The request is unread when its idle connection is closed: it is neither reset nor forwarded. */
    @Test
    void aRequestThatArrivesWhileItsConnectionClosesIsNotForwarded() throws Exception {
        try (LoopbackNetwork net = new LoopbackNetwork(1)) {
            Client client = idleClient(net);
            net.callOnLoop(() -> {
                client.sendRequest("menu-read");
                net.sidecar.clients().closeIdle(true);
                return null;
            });
            assertNull(client.read());
            assertNextRequestHasBody(net, "mark");
        }
    }

    @Test
    void aRequestThatIsReadBeforeItsConnectionClosesGetsItsResponse() throws Exception {
        try (LoopbackNetwork net = new LoopbackNetwork(1)) {
            Client client = idleClient(net);
            client.sendRequest("menu-read");
            ReceivedRequest call = net.servers.get(0).next();
            net.callOnLoop(() -> {
                net.sidecar.clients().closeIdle(true);
                return null;
            });
            call.respond("200 OK", "complete");
            assertTrue(client.read().endsWith("\r\n\r\ncomplete"));
        }
    }

    @Test
    void aPartiallyReadRequestIsAwaitedAndThenDropped() throws Exception {
        try (LoopbackNetwork net = new LoopbackNetwork(1)) {
            Client first = clientWithPartialRequest(net, 1);
            Client second = clientWithPartialRequest(net, 2);
            net.callOnLoop(() -> {
                net.sidecar.clients().closeIdle(false);
                return null;
            });
            first.send("cd");
            ReceivedRequest call = net.servers.get(0).nextRequest();
            assertTrue(call.message().endsWith("\r\n\r\nabcd"), call.message());
            call.respond("200 OK", "complete");
            assertTrue(first.read().endsWith("\r\n\r\ncomplete"));
            net.callOnLoop(() -> {
                second.send("cd"); // the remaining bytes arrive during the close
                net.sidecar.clients().closeIdle(true);
                return null;
            });
            assertNull(second.read());
            assertNextRequestHasBody(net, "mark");
        }
    }

    /** The event loop is blocked until both have happened: the event handled first determines the only outcome. */
    @Test
    void aSimultaneousTimeoutAndResponseProduceOneOutcome() throws Exception {
        BlockingQueue<Outcome> outcomes = new LinkedBlockingQueue<>();
        EventLoop loop = new EventLoop();
        try (ScriptedPeer server = new ScriptedPeer()) {
            ConnectionPool pool = new ConnectionPool(loop, 0, Double.POSITIVE_INFINITY);
            loop.execute(() -> new HttpAttempt(
                            loop,
                            server.address(),
                            pool,
                            bytes("GET /x HTTP/1.1\r\n\r\n"),
                            () -> true,
                            (attempt, end) -> outcomes.add(end.outcome()))
                    .start(50, 0, Double.POSITIVE_INFINITY));
            ReceivedRequest call = server.next();
            BlockingQueue<Integer> pooled = new LinkedBlockingQueue<>();
            loop.execute(() -> {
                double started = loop.now();
                respond(call);
                await(() -> loop.now() > started + 60);
                loop.after(0, () -> loop.execute(() -> pooled.add(pool.size()))); // after both were handled
            });
            Outcome outcome = outcomes.poll(TIMEOUT_S, TimeUnit.SECONDS);
            int pooledCount = pooled.poll(TIMEOUT_S, TimeUnit.SECONDS);
            assertTrue(
                    outcome == Outcome.SERVED && pooledCount == 1 || outcome == Outcome.TIMED_OUT && pooledCount == 0,
                    outcome + " and " + pooledCount + " pooled");
            assertTrue(outcomes.isEmpty());
        } finally {
            loop.stop();
        }
    }

    /** Without a length only the close of the connection completes a response; a reset does not. */
    @Test
    void aResponseWithoutALengthIsCompletedByACloseAndNotByAReset() throws Exception {
        try (LoopbackNetwork net = new LoopbackNetwork(1)) {
            Client client = net.client();
            client.sendRequest("order-place");
            ReceivedRequest closed = net.servers.get(0).nextRequest();
            closed.connection().send("HTTP/1.1 200 OK\r\n\r\ncomplete");
            closed.connection().socket.close();
            assertTrue(client.read().endsWith("\r\n\r\ncomplete"));
            client.sendRequest("order-place");
            ReceivedRequest reset = net.servers.get(0).nextRequest();
            reset.connection().send("HTTP/1.1 200 OK\r\n\r\npart");
            reset.reset();
            assertStatus("502", client.read());
        }
    }

    @Test
    void aResponseThatNeverEndsFailsItsAttemptAndClosesItsConnection() throws Exception {
        try (LoopbackNetwork net = new LoopbackNetwork(1)) {
            Client client = net.client();
            client.sendRequest("order-place");
            ReceivedRequest call = net.servers.get(0).nextRequest();
            call.connection().send("HTTP/1.1 200 OK\r\n\r\n");
            assertThrows(IOException.class, () -> {
                for (int index = 0; index < 100_000; index++) {
                    call.connection().send("x".repeat(1_000));
                }
            });
            assertStatus("502", client.read());
        }
    }

    /** All state of a request is released when it is served, failed, rejected, abandoned, malformed or timed out. */
    @Test
    void allStateOfARequestIsReleasedWhenItEnds() throws Exception {
        try (LoopbackNetwork net = new LoopbackNetwork(1)) {
            ScriptedPeer server = net.servers.get(0);
            Client served = net.client();
            served.sendRequest("menu-read");
            server.nextRequest().respond("200 OK", "");
            served.read();
            Client failed = net.client();
            failed.sendRequest("order-place");
            server.nextRequest().reset();
            failed.read();
            Client rejected = net.client();
            rejected.sendRequest("order-place");
            server.nextRequest().respond("503 Busy\r\nX-Never-Ran: 1", "");
            rejected.read();
            Client malformed = net.client();
            malformed.send("what?\r\n\r\n");
            malformed.read();
            Client timedOut = net.client();
            timedOut.send(Client.request("menu-read", "").replace("5000", "100"));
            timedOut.read();
            Client disconnected = net.client();
            disconnected.sendRequest("order-place");
            for (Client client : new Client[] {served, failed, rejected, malformed, timedOut, disconnected}) {
                client.socket.close();
            }
            await(() -> onLoop(net, net.sidecar::hasReleasedEverything));
        }
    }

    private static <T> T onLoop(LoopbackNetwork net, Callable<T> task) {
        try {
            return net.callOnLoop(task);
        } catch (Exception e) {
            throw new IllegalStateException(e);
        }
    }

    private static void await(BooleanSupplier condition) {
        long until = System.nanoTime() + TimeUnit.SECONDS.toNanos(TIMEOUT_S);
        while (!condition.getAsBoolean()) {
            if (System.nanoTime() > until) {
                throw new AssertionError("the condition was not met in time");
            }
            Thread.onSpinWait();
        }
    }

    private static ByteBuffer bytes(String text) {
        return ByteBuffer.wrap(text.getBytes(StandardCharsets.US_ASCII));
    }

    private static void respond(ReceivedRequest call) {
        try {
            call.respond("200 OK", "");
        } catch (IOException e) {
            throw new IllegalStateException(e);
        }
    }

    /** A client whose connection is idle after one response. */
    private static Client idleClient(LoopbackNetwork net) throws Exception {
        Client client = net.client();
        client.sendRequest("menu-read");
        net.servers.get(0).nextRequest().respond("200 OK", "");
        assertStatus("200", client.read());
        return client;
    }

    private static Client clientWithPartialRequest(LoopbackNetwork net, int activeCount) throws Exception {
        Client client = net.client();
        client.send(Client.request("menu-read", "Content-Length: 4\r\n") + "ab");
        await(() -> onLoop(net, () -> net.sidecar.clients().activeCount()) == activeCount);
        return client;
    }

    private static void assertNextRequestHasBody(LoopbackNetwork net, String body) throws Exception {
        Client client = net.client();
        client.send(Client.request("menu-read", "Content-Length: " + body.length() + "\r\n") + body);
        ReceivedRequest next = net.servers.get(0).nextRequest();
        assertTrue(next.message().endsWith("\r\n\r\n" + body), next.message());
        next.respond("200 OK", "");
        assertStatus("200", client.read());
    }
}
