package dewplank.sidecar;

import static dewplank.sidecar.ResponseAssertions.assertConnectionEnd;
import static dewplank.sidecar.ResponseAssertions.assertLastResponse;
import static dewplank.sidecar.ResponseAssertions.assertStatus;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertSame;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static org.junit.jupiter.params.provider.Arguments.arguments;

import dewplank.balancer.Action.Reject;
import dewplank.balancer.Action.Send;
import dewplank.balancer.Balancer;
import dewplank.balancer.Event.AttemptEnded;
import dewplank.balancer.Event.RequestArrived;
import dewplank.balancer.Outcome;
import dewplank.sidecar.LoopbackNetwork.Client;
import dewplank.sidecar.LoopbackNetwork.ReceivedRequest;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.FutureTask;
import java.util.function.UnaryOperator;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;

/**
 * Forwarding of a request between a client and a server: connection reuse, outcomes that are forwarded, failed or
 * rejected, malformed requests, and a client that disconnects.
 */
class RequestForwardingTest {

    /** Regression: every completed request closed its server connection instead of returning it to the pool. */
    @Test
    void aServerConnectionIsReused() throws Exception {
        try (LoopbackNetwork net = new LoopbackNetwork(1)) {
            Client client = net.client();
            client.sendRequest("menu-read");
            ReceivedRequest first = net.servers.get(0).next();
            assertTrue(first.message().startsWith("POST /api?q=1 HTTP/1.1\r\n"), first.message());
            assertTrue(first.message().contains("X-Trace-Id: t"), first.message());
            assertTrue(first.message().endsWith("\r\n\r\nhi"), first.message());
            first.respond("200 OK", "one");
            assertTrue(client.read().endsWith("\r\n\r\none"));
            net.awaitConnectionReusable();
            client.sendRequest("menu-read");
            ReceivedRequest second = net.servers.get(0).next();
            assertSame(first.connection(), second.connection());
            second.respond("200 OK", "two");
            assertTrue(client.read().endsWith("\r\n\r\ntwo"));
        }
    }

    /** A request that is written while the server closes the connection would be reset. */
    @Test
    void anIdleServerConnectionIsClosedBeforeTheServerClosesIt() throws Exception {
        try (LoopbackNetwork net = LoopbackNetwork.builder(1)
                .settings(settings -> settings.replace("\"IdleClose\":60000", "\"IdleClose\":1"))
                .start()) {
            Client client = net.client();
            client.sendRequest("menu-read");
            ReceivedRequest call = net.servers.get(0).next();
            call.respond("200 OK", "");
            assertStatus("200", client.read());
            ReceivedRequest end = net.servers.get(0).next();
            assertConnectionEnd(call, end);
        }
    }

    /** A request that may have run is neither retried nor rejected: a rejection lets the client retry. */
    @Test
    void anOrderFailsIfItsServerResetsTheConnection() throws Exception {
        try (LoopbackNetwork net = new LoopbackNetwork(1)) {
            Client client = net.client();
            client.sendRequest("order-place");
            net.servers.get(0).next().reset();
            assertStatus("502", client.read());
        }
    }

    @Test
    void aResponseThatIsNotHttpFailsOnlyItsRequest() throws Exception {
        try (LoopbackNetwork net = new LoopbackNetwork(1)) {
            Client client = net.client();
            client.sendRequest("order-place");
            net.servers.get(0).next().connection().send("what?\r\n\r\n");
            assertStatus("502", client.read());
            client.sendRequest("menu-read");
            ReceivedRequest next = net.servers.get(0).next();
            next = next.message() == null ? net.servers.get(0).next() : next; // the close of the broken connection
            next.respond("200 OK", "fine");
            assertStatus("200", client.read());
        }
    }

    /** The only server rejected the request before running it: a retry is safe, and Retry-After states the delay. */
    @Test
    void anOrderThatItsServerRejectedIsRejected() throws Exception {
        try (LoopbackNetwork net = new LoopbackNetwork(1)) {
            Client client = net.client();
            client.sendRequest("order-place");
            net.servers.get(0).next().respond("503 Busy\r\nX-Never-Ran: 1", "");
            String response = client.read();
            assertStatus("503", response);
            assertTrue(response.contains("\r\nRetry-After: "), response);
        }
    }

    @Test
    void anOrderThatHasNotRunIsRetriedAtAnotherServer() throws Exception {
        try (LoopbackNetwork net = new LoopbackNetwork(2)) {
            net.servers.get(1).close(); // refuses connections
            for (int index = 0; index < 8; index++) {
                Client client = net.client();
                client.sendRequest("order-place");
                net.servers.get(0).next().respond("200 OK", "placed");
                assertStatus("200", client.read());
            }
        }
    }

    /** Regression: all servers were put into backoff because this sidecar had no free connection. */
    @Test
    void anAttemptIsNotSentAtTheConnectionLimit() throws Exception {
        List<Outcome> outcomes = new CopyOnWriteArrayList<>();
        UnaryOperator<Balancer> sendsAll = balancer -> (now, event, out) -> {
            if (event instanceof RequestArrived arrival) {
                out.accept(new Send(arrival.request(), "s0", 0));
            } else if (event instanceof AttemptEnded attempt) {
                outcomes.add(attempt.outcome());
                out.accept(new Reject(attempt.request(), 0));
            }
        };
        try (LoopbackNetwork net = LoopbackNetwork.builder(1).balancer(sendsAll).start()) {
            for (int index = 0; index < net.config.maxServerConnections(); index++) {
                net.client().sendRequest("order-place");
                net.servers.get(0).next();
            }
            Client first = net.client();
            first.sendRequest("order-place");
            assertStatus("503", first.read());
            assertEquals(List.of(Outcome.NEVER_SENT), outcomes);
        }
    }

    /** A pending read detects the disconnect; the cancelled attempt's connection is closed instead of pooled. */
    @Test
    void aClientThatDisconnectsCancelsItsAttempt() throws Exception {
        try (LoopbackNetwork net = new LoopbackNetwork(1)) {
            Client client = net.client();
            client.sendRequest("menu-read");
            ReceivedRequest call = net.servers.get(0).next();
            client.socket.close();
            ReceivedRequest end = net.servers.get(0).next();
            assertConnectionEnd(call, end);
        }
    }

    @Test
    void aPipelinedRequestWaitsForThePreviousResponse() throws Exception {
        try (LoopbackNetwork net = new LoopbackNetwork(1)) {
            Client client = net.client();
            String first = Client.request("menu-read", "Content-Length: 1\r\n");
            client.send(first + "a" + first + "b");
            net.servers.get(0).next().respond("200 OK", "A");
            assertTrue(client.read().endsWith("\r\n\r\nA"));
            ReceivedRequest second = net.servers.get(0).next();
            assertTrue(second.message().endsWith("\r\n\r\nb"));
            second.respond("200 OK", "B");
            assertTrue(client.read().endsWith("\r\n\r\nB"));
        }
    }

    static Stream<Arguments> malformedRequests() {
        return Stream.of(
                arguments("413", Client.request("menu-read", "Content-Length: 24000000\r\n") + "x".repeat(24_000_000)),
                arguments("400", Client.request("menu-read", "Content-Length: 1\r\nTransfer-Encoding: chunked\r\n")),
                arguments("400", Client.request("no-such-class", "")),
                arguments("400", Client.request("menu-read", "X-Trace-Id: second\r\n")),
                arguments("400", Client.request("menu-read", "").replace("X-Trace-Id: t", "X-Trace-Id: \u00e4 ")),
                arguments(
                        "400",
                        "GET /api HTTP/1.1\r\nX-Trace-Id: t\r\nX-Qos: menu-read\r\nX-Expires-In-Ms: soon\r\n\r\n"));
    }

    /** An immediate close would reset a connection with an unread body, and the client would lose the response. */
    @ParameterizedTest(name = "case {index}: {0}")
    @MethodSource("malformedRequests")
    void aMalformedRequestGetsAnErrorAndItsConnectionIsClosed(String status, String request) throws Exception {
        try (LoopbackNetwork net = new LoopbackNetwork(1)) {
            Client client = net.client();
            client.send(request);
            assertStatus(status, client.read());
            assertNull(client.read());
            net.client().awaitHealthStatus("200"); // other clients are served
        }
    }

    /** Servers identify requests only by their trace id, so they could treat the second one as a retry of the first. */
    @Test
    void aRequestWithTheTraceIdOfAnOpenRequestIsRejected() throws Exception {
        try (LoopbackNetwork net = new LoopbackNetwork(1)) {
            String order = Client.request("order-place", "");
            Client first = net.client();
            first.send(order);
            ReceivedRequest call = net.servers.get(0).next();
            Client second = net.client();
            second.send(order);
            assertLastResponse(second, "409");
            call.respond("200 OK", "");
            assertStatus("200", first.read());
            first.send(order); // complete, so no longer open
            net.servers.get(0).next().respond("200 OK", "");
            assertStatus("200", first.read());
        }
    }

    @Test
    void anExceptionInTheBalancerFailsOnlyItsRequest() throws Exception {
        try (LoopbackNetwork net = LoopbackNetwork.builder(1)
                .settings(settings -> settings)
                .balancer(balancer -> (now, event, out) -> {
                    if (event instanceof RequestArrived arrival
                            && arrival.requestClass().equals("order-place")) {
                        throw new IllegalStateException("intentional failure of the test");
                    }
                    balancer.handle(now, event, out);
                })
                .start()) {
            Client client = net.client();
            client.sendRequest("order-place");
            assertStatus("502", client.read());
            client.sendRequest("menu-read");
            net.servers.get(0).next().respond("200 OK", "");
            assertStatus("200", client.read());
        }
    }

    /** Clients connect once the sidecar reports that it is ready, which it does only after the warm-up. */
    @Test
    void theSidecarIsNotReadyUntilItsWarmUpHasEnded() throws Exception {
        try (LoopbackNetwork net = new LoopbackNetwork(1)) {
            FutureTask<Boolean> ready = new FutureTask<>(net.sidecar::isReady);
            CompletableFuture<Void> warmedUp = net.sidecar.warmUp();
            net.sidecar.loop().execute(ready);
            assertFalse(ready.get());
            warmedUp.get();
            net.runOnLoop(() -> assertTrue(net.sidecar.isReady()));
        }
    }
}
