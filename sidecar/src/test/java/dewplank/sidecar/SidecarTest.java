package dewplank.sidecar;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertSame;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dewplank.balancer.Action.Reject;
import dewplank.balancer.Action.Send;
import dewplank.balancer.Balancer;
import dewplank.balancer.Event.AttemptEnded;
import dewplank.balancer.Event.EndpointUpdate;
import dewplank.balancer.Event.RequestArrived;
import dewplank.balancer.Event.UpdateKind;
import dewplank.balancer.Outcome;
import dewplank.sidecar.LoopbackNetwork.Client;
import dewplank.sidecar.LoopbackNetwork.ReceivedRequest;
import java.io.IOException;
import java.net.ConnectException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.FutureTask;
import java.util.function.UnaryOperator;
import org.junit.jupiter.api.Test;

/** Stories of the sidecar between scripted peers. */
class SidecarTest {

    /** Found on the first calm day: every answered call closed its connection instead of pooling it. */
    @Test
    void aServerConnectionCarriesOneRequestAfterAnother() throws Exception {
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

    /** A request written to a connection that the server closes at that moment ends as a reset. */
    @Test
    void anIdleServerConnectionIsClosedBeforeTheServerDoes() throws Exception {
        try (LoopbackNetwork net = LoopbackNetwork.builder(1)
                .settings(settings -> settings.replace("\"IdleClose\":60000", "\"IdleClose\":1"))
                .start()) {
            Client client = net.client();
            client.sendRequest("menu-read");
            ReceivedRequest call = net.servers.get(0).next();
            call.respond("200 OK", "");
            assertStatus("200", client.read());
            ReceivedRequest end = net.servers.get(0).next();
            assertEnd(call, end);
        }
    }

    /** What may have run is neither sent again nor refused: a refusal tells the client to try again. */
    @Test
    void anOrderWhoseServerResetsHasFailed() throws Exception {
        try (LoopbackNetwork net = new LoopbackNetwork(1)) {
            Client client = net.client();
            client.sendRequest("order-place");
            net.servers.get(0).next().reset();
            assertStatus("502", client.read());
        }
    }

    @Test
    void aResponseThatIsNotHttpFailsItsRequestOnly() throws Exception {
        try (LoopbackNetwork net = new LoopbackNetwork(1)) {
            Client client = net.client();
            client.sendRequest("order-place");
            net.servers.get(0).next().connection().send("what?\r\n\r\n");
            assertStatus("502", client.read());
            client.sendRequest("menu-read");
            ReceivedRequest next = net.servers.get(0).next();
            next = next.message() == null ? net.servers.get(0).next() : next; // the end of the broken connection
            next.respond("200 OK", "fine");
            assertStatus("200", client.read());
        }
    }

    /** Rejected before it ran, with no other server: a retry is safe, and Retry-After says when. */
    @Test
    void anOrderThatTheServerRejectedIsRejected() throws Exception {
        try (LoopbackNetwork net = new LoopbackNetwork(1)) {
            Client client = net.client();
            client.sendRequest("order-place");
            net.servers.get(0).next().respond("503 Busy\r\nX-Never-Ran: 1", "");
            String answer = client.read();
            assertStatus("503", answer);
            assertTrue(answer.contains("\r\nRetry-After: "), answer);
        }
    }

    @Test
    void anOrderThatNeverRanGoesToAnotherServer() throws Exception {
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

    /** A read stays pending on the client's side, and a cancelled call's connection is closed, not pooled. */
    @Test
    void aClientThatDisconnectsCancelsItsAttempt() throws Exception {
        try (LoopbackNetwork net = new LoopbackNetwork(1)) {
            Client client = net.client();
            client.sendRequest("menu-read");
            ReceivedRequest call = net.servers.get(0).next();
            client.socket.close();
            ReceivedRequest end = net.servers.get(0).next();
            assertEnd(call, end);
        }
    }

    @Test
    void aRequestSentAheadWaitsForItsTurn() throws Exception {
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

    /** A plain close would reset the connection where the body lies unread, and take the answer with it. */
    @Test
    void aMalformedRequestGetsAnErrorAndTheConnectionCloses() throws Exception {
        try (LoopbackNetwork net = new LoopbackNetwork(1)) {
            String[][] cases = {
                {"413", Client.request("menu-read", "Content-Length: 24000000\r\n") + "x".repeat(24_000_000)},
                {"400", Client.request("menu-read", "Content-Length: 1\r\nTransfer-Encoding: chunked\r\n")},
                {"400", Client.request("no-such-class", "")},
                {"400", Client.request("menu-read", "X-Trace-Id: second\r\n")},
                {"400", Client.request("menu-read", "").replace("X-Trace-Id: t", "X-Trace-Id: \u00e4 ")},
                {"400", "GET /api HTTP/1.1\r\nX-Trace-Id: t\r\nX-Qos: menu-read\r\nX-Expires-In-Ms: soon\r\n\r\n"},
            };
            for (String[] malformed : cases) {
                Client client = net.client();
                client.send(malformed[1]);
                assertStatus(malformed[0], client.read());
                assertNull(client.read());
            }
        }
    }

    /** Sent on, the second could run beside the first as its repeat; the servers know a request by its id only. */
    @Test
    void theIdOfAnOpenRequestIsRejected() throws Exception {
        try (LoopbackNetwork net = new LoopbackNetwork(1)) {
            String order = Client.request("order-place", "");
            Client first = net.client();
            first.send(order);
            ReceivedRequest call = net.servers.get(0).next();
            Client second = net.client();
            second.send(order);
            assertLast(second, "409");
            call.respond("200 OK", "");
            assertStatus("200", first.read());
            first.send(order); // answered, and so no longer open
            net.servers.get(0).next().respond("200 OK", "");
            assertStatus("200", first.read());
        }
    }

    @Test
    void theWatchDeliversServersAndResumesFromItsVersion() throws Exception {
        try (LoopbackNetwork net = new LoopbackNetwork(0)) {
            Client client = net.client();
            client.send("GET /_health HTTP/1.1\r\n\r\n");
            assertStatus("503", client.read());
            ReceivedRequest watch = net.discovery.next();
            assertTrue(watch.message().startsWith("GET /catalog/members?stream=1&index=7 "), watch.message());
            LoopbackNetwork.ScriptedPeer server = new LoopbackNetwork.ScriptedPeer();
            watch.beginWatch();
            watch.sendLine("");
            watch.sendLine(LoopbackNetwork.catalogJson(9, false, List.of(server.endpointJson("new", "active"))));
            watch.reset();
            ReceivedRequest reopened = net.discovery.next();
            reopened = reopened.message() == null ? net.discovery.next() : reopened;
            assertTrue(reopened.message().contains("index=9 "), reopened.message());
            client.send("GET /_health HTTP/1.1\r\n\r\n");
            assertStatus("200", client.read());
            client.sendRequest("menu-read");
            server.next().respond("200 OK", "");
            assertStatus("200", client.read());
            server.close();
        }
    }

    @Test
    void aBalancerThatThrowsFailsThatRequestOnly() throws Exception {
        try (LoopbackNetwork net = LoopbackNetwork.builder(1)
                .settings(settings -> settings)
                .balancer(balancer -> (now, event, out) -> {
                    if (event instanceof RequestArrived arrival
                            && arrival.requestClass().equals("order-place")) {
                        throw new IllegalStateException("on purpose, for the test");
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

    /**
     * Found on the day of churn: clients that sent one request and kept their connections used up all that may be open,
     * and no others were accepted. On the day of bad clients, silent ones and half requests did the same.
     */
    @Test
    void connectionsWithoutRequestsAreClosedForCapacity() throws Exception {
        try (LoopbackNetwork net = new LoopbackNetwork(1)) {
            List<Client> idle = new ArrayList<>();
            for (int index = 0;
                    index <= net.config.maxClientConnections() / ClientConnections.IDLE_CAPACITY_DIVISOR;
                    index++) {
                idle.add(net.client());
                idle.get(index).send("GET /_health HTTP/1.1\r\n\r\n");
                assertStatus("200", idle.get(index).read());
            }
            Client silent = net.client();
            Client half = net.client();
            half.send("GET /half HTTP");
            Client busy = net.client();
            busy.sendRequest("menu-read");
            ReceivedRequest call = net.servers.get(0).next(); // all are accepted by now
            net.runOnLoop(() -> net.sidecar.closeOverdue(net.sidecar.loop().now() + 3_000));
            assertNull(silent.read());
            assertLast(half, "408");
            for (Client client : idle) {
                assertNull(client.read());
            }
            call.respond("200 OK", "");
            assertStatus("200", busy.read());
        }
    }

    /** Found on an incident: 128 clients sent one request and kept their connections, and could open no more. */
    @Test
    void aboveTheIdleCapacityAResponseIsTheLastOnItsConnection() throws Exception {
        try (LoopbackNetwork net = new LoopbackNetwork(1)) {
            List<Client> idle = clientsUpToIdleCapacity(net);
            Client more = net.client();
            more.sendRequest("menu-read");
            net.servers.get(0).next().respond("200 OK", "");
            assertLast(more, "200");
            close(idle);
        }
    }

    /**
     * Found at Sado: no new connections come then, and a client whose idle connections are all busy has no other
     * sidecar.
     */
    @Test
    void aDrainingSidecarClosesNoConnectionForCapacity() throws Exception {
        try (LoopbackNetwork net = new LoopbackNetwork(1)) {
            List<Client> idle = clientsUpToIdleCapacity(net);
            Client more = net.client();
            drain(net, 60_000, 60_000);
            net.sidecar.awaitDrainStarted();
            serve(net, more, "one");
            serve(net, more, "two");
            close(idle);
        }
    }

    private static void close(List<Client> clients) throws IOException {
        for (Client client : clients) {
            client.socket.close();
        }
    }

    private static List<Client> clientsUpToIdleCapacity(LoopbackNetwork net) throws IOException {
        List<Client> idle = new ArrayList<>();
        for (int index = 0;
                index < net.config.maxClientConnections() / ClientConnections.IDLE_CAPACITY_DIVISOR;
                index++) {
            Client first = net.client();
            first.send("GET /_health HTTP/1.1\r\n\r\n");
            String answer = first.read();
            assertStatus("200", answer);
            assertFalse(answer.contains("Connection: close"), answer);
            idle.add(first);
        }
        return idle;
    }

    /** Idle connections save their clients the opening of new ones: they stay as long as there is room. */
    @Test
    void anIdleClientStaysWhileThereIsCapacity() throws Exception {
        try (LoopbackNetwork net = new LoopbackNetwork(1)) {
            Client client = net.client();
            for (int index = 0; index < 2; index++) {
                client.send("GET /_health HTTP/1.1\r\n\r\n");
                assertStatus("200", client.read());
                net.runOnLoop(() -> net.sidecar.closeOverdue(net.sidecar.loop().now() + 3_000));
            }
        }
    }

    /** Silent connections must not keep out one with a request until their 2 s are over. */
    @Test
    void silentConnectionsAtTheBoundAreClosedSoon() throws Exception {
        try (LoopbackNetwork net = new LoopbackNetwork(1)) {
            List<Client> silent = new ArrayList<>();
            for (int index = 0; index < net.config.maxClientConnections(); index++) {
                silent.add(net.client());
            }
            Client newClient = net.client();
            newClient.sendRequest("menu-read");
            net.servers.get(0).next().respond("200 OK", "");
            assertStatus("200", newClient.read());
            assertNull(silent.get(0).read());
        }
    }

    /** Over a long day servers come and go with ever new ids: what is retained for one must go with it. */
    @Test
    void theConnectionsToAServerCloseWhenItIsRemoved() throws Exception {
        try (LoopbackNetwork net = new LoopbackNetwork(1)) {
            ReceivedRequest watch = net.discovery.next();
            LoopbackNetwork.ScriptedPeer server = net.servers.get(0);
            Client first = net.client();
            first.sendRequest("menu-read");
            ReceivedRequest firstCall = server.next();
            Client second = net.client();
            second.sendRequest("menu-read");
            ReceivedRequest secondCall = server.next();
            firstCall.respond("200 OK", "");
            assertStatus("200", first.read()); // its connection is idle now
            watch.beginWatch();
            watch.sendLine(LoopbackNetwork.catalogJson(8, false, List.of(server.endpointJson("s0", "left"))));
            assertEnd(firstCall, server.next());
            secondCall.respond("200 OK", "");
            assertStatus("200", second.read());
            assertEnd(secondCall, server.next());
        }
    }

    private static void assertEnd(ReceivedRequest of, ReceivedRequest end) {
        assertSame(of.connection(), end.connection());
        assertNull(end.message());
    }

    /** A reload moves the watch at once: the old address ends its watches soon, and tells nothing new. */
    @Test
    void theWatchFollowsDiscoveryToANewAddress() throws Exception {
        UnaryOperator<Balancer> neverResubscribes = balancer -> (now, event, out) -> {
            if (!(event instanceof EndpointUpdate update && update.kind() == UpdateKind.BROKEN)) {
                balancer.handle(now, event, out);
            }
        };
        try (LoopbackNetwork net =
                        LoopbackNetwork.builder(1).balancer(neverResubscribes).start();
                LoopbackNetwork.ScriptedPeer moved = new LoopbackNetwork.ScriptedPeer()) {
            ReceivedRequest old = net.discovery.next();
            old.beginWatch();
            net.sidecar.reload(net.withDiscovery(moved.address()));
            ReceivedRequest watch = moved.next();
            assertTrue(watch.message().startsWith("GET /catalog/members?stream=1&index=7 "), watch.message());
            assertNull(net.discovery.next().message());
            watch.beginWatch();
            watch.sendLine(LoopbackNetwork.catalogJson(8, true, List.of()));
            Client client = net.client();
            client.awaitHealthStatus("503");
        }
    }

    /** Found while the other sidecar was down: servers were rested, one and all, for this one's lack of connections. */
    @Test
    void anAttemptWithoutAFreeConnectionIsNeverSent() throws Exception {
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

    /** Clients come once the sidecar is well: not before its code is warm. */
    @Test
    void untilItsRehearsalEndsTheSidecarIsNotReady() throws Exception {
        try (LoopbackNetwork net = new LoopbackNetwork(1)) {
            FutureTask<Boolean> ready = new FutureTask<>(net.sidecar::isReady);
            CompletableFuture<Void> rehearsed = net.sidecar.rehearse();
            net.sidecar.loop().execute(ready);
            assertFalse(ready.get());
            rehearsed.get();
            net.runOnLoop(() -> assertTrue(net.sidecar.isReady()));
        }
    }

    /** At a planned restart clients still come for a while. */
    @Test
    void aDrainingSidecarServesNewClients() throws Exception {
        try (LoopbackNetwork net = new LoopbackNetwork(1)) {
            Client before = net.client();
            serve(net, before, "one");
            drain(net, 60_000, 60_000);
            net.sidecar.awaitDrainStarted();
            serve(net, before, "two"); // found at Sado: an idle connection was closed with this response
            serve(net, before, "three");
            serve(net, net.client(), "four");
        }
    }

    @Test
    void aDrainingSidecarEndsWhenAllAcceptedRequestsAreComplete() throws Exception {
        try (LoopbackNetwork net = new LoopbackNetwork(1)) {
            Client client = net.client();
            client.sendRequest("menu-read");
            ReceivedRequest call = net.servers.get(0).next();
            FutureTask<Void> drain = drain(net, 0, 60_000);
            net.sidecar.awaitDrainStarted();
            assertNull(responseToNewClient(net));
            call.respond("200 OK", "old");
            assertLast(client, "200");
            drain.get();
        }
    }

    @Test
    void aDrainingSidecarClosesAnAcceptedConnectionWithoutARequest() throws Exception {
        try (LoopbackNetwork net = new LoopbackNetwork(1)) {
            Client idle = net.client();
            Client busy = net.client();
            busy.sendRequest("menu-read");
            ReceivedRequest call = net.servers.get(0).next(); // connections are accepted in order: the idle one was too
            FutureTask<Void> drain = drain(net, 0, 60_000);
            assertNull(idle.read()); // closed gracefully, not reset
            call.respond("200 OK", "");
            drain.get();
        }
    }

    /** The system resets what is in the backlog when the listener closes; the sidecar never saw that connection. */
    @Test
    void aConnectionInTheBacklogOfADrainingSidecarGetsNoResponse() throws Exception {
        try (LoopbackNetwork net = new LoopbackNetwork(1)) {
            for (int index = 1; index < net.config.maxClientConnections(); index++) {
                net.client().send("POST"); // half a request: a silent connection would be closed at the bound
            }
            Client last = net.client();
            last.sendRequest("menu-read");
            ReceivedRequest call = net.servers.get(0).next(); // accepted in order: the bound is reached
            Client queued = net.client();
            FutureTask<Void> drain = drain(net, 0, 60_000);
            assertNull(queued.readUnlessReset());
            call.respond("200 OK", "");
            assertLast(last, "200");
            drain.get();
        }
    }

    /**
     * What a client gets that connects while the sidecar stops to accept: null, whether the connection is refused, is
     * reset in the backlog, or is accepted and closed.
     */
    private static String responseToNewClient(LoopbackNetwork net) throws IOException {
        try {
            return net.client().readUnlessReset();
        } catch (ConnectException e) {
            return null;
        }
    }

    /** What SIGKILL finds unanswered is lost: an order that may have run is failed before that, never refused. */
    @Test
    void requestsStillOpenBeforeAKillAreFailed() throws Exception {
        try (LoopbackNetwork net = new LoopbackNetwork(1)) {
            Client client = net.client();
            client.sendRequest("order-place");
            net.servers.get(0).next();
            FutureTask<Void> drain = drain(net, 0, 300);
            assertLast(client, "502");
            drain.get();
        }
    }

    /** By the protocol's figures: 0.7 s after the longest deadline, which counts as 3 s at the most. */
    @Test
    void requestsAreAcceptedUntilTheyCouldNotCompleteBeforeAKill() {
        assertEquals(new DrainSchedule(2_750, 3_500), DrainSchedule.of(6_000, 750));
        assertEquals(new DrainSchedule(1_300, 1_700), DrainSchedule.of(1_200, 400));
        assertEquals(new DrainSchedule(600, 1_500), DrainSchedule.of(1_000, 2_000));
    }

    private static void serve(LoopbackNetwork net, Client client, String body) throws Exception {
        client.sendRequest("menu-read");
        net.servers.get(0).next().respond("200 OK", body);
        assertTrue(client.read().endsWith("\r\n\r\n" + body));
    }

    private static FutureTask<Void> drain(LoopbackNetwork net, double takeOnMs, double answerByMs) {
        FutureTask<Void> drain = new FutureTask<>(() -> {
            net.sidecar.drain(new DrainSchedule(takeOnMs, answerByMs));
            return null;
        });
        Thread thread = new Thread(drain);
        thread.setDaemon(true);
        thread.start();
        return drain;
    }

    private static void assertLast(Client client, String status) throws IOException {
        String answer = client.read();
        assertStatus(status, answer);
        assertTrue(answer.contains("Connection: close\r\n"), answer);
        assertNull(client.read());
    }

    private static void assertStatus(String status, String answer) {
        assertEquals("HTTP/1.1 " + status, answer.substring(0, Math.min(12, answer.length())), answer);
    }
}
