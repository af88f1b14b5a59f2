package dewplank.sidecar;

import static dewplank.sidecar.ResponseAssertions.assertStatus;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dewplank.balancer.Balancer;
import dewplank.balancer.Event.AttemptEnded;
import dewplank.balancer.Event.RequestAbandoned;
import dewplank.sidecar.LoopbackNetwork.Client;
import dewplank.sidecar.LoopbackNetwork.ReceivedRequest;
import dewplank.sidecar.LoopbackNetwork.ScriptedPeer;
import java.io.IOException;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.UnaryOperator;
import org.junit.jupiter.api.Test;

/** Clients that disconnect, and connections that close while bytes arrive on them. */
class ClientDisconnectTest {
    /** The event loop is blocked until the request and the close after it have arrived, so both are read together. */
    @Test
    void aRequestWhoseClientDisconnectsBeforeItIsReadIsNotForwarded() throws Exception {
        try (LoopbackNetwork net = new LoopbackNetwork(1)) {
            Client before = net.client();
            before.sendRequest("menu-read");
            net.servers.get(0).next().respond("200 OK", "");
            assertStatus("200", before.read());
            net.awaitConnectionReusable(); // a server connection is free, so a request could be sent once read
            net.callOnLoop(() -> {
                Client disconnected = net.client();
                disconnected.sendRequest("menu-read");
                disconnected.socket.close();
                return null;
            });
            Client connected = net.client();
            connected.send(Client.request("menu-read", "Content-Length: 4\r\n") + "mark");
            ReceivedRequest first = net.servers.get(0).next();
            assertTrue(first.message().endsWith("\r\n\r\nmark"), first.message());
            first.respond("200 OK", "");
            assertStatus("200", connected.read());
        }
    }

    /** The request is queued because there is no server; one is listed only after the client has disconnected. */
    @Test
    void aRequestWhoseClientDisconnectsWhileItIsQueuedIsNotForwarded() throws Exception {
        BalancerEventLatch abandoned = new BalancerEventLatch(event -> event instanceof RequestAbandoned);
        try (LoopbackNetwork net =
                        LoopbackNetwork.builder(0).balancer(abandoned).start();
                ScriptedPeer server = new ScriptedPeer()) {
            ReceivedRequest watch = net.discovery.next();
            Client client = net.client();
            client.sendRequest("menu-read");
            net.awaitRequestAccepted();
            client.socket.close();
            abandoned.await();
            watch.beginWatch();
            watch.sendLine(LoopbackNetwork.catalogJson(8, false, List.of(server.endpointJson("s0", "active"))));
            Client connected = net.client();
            connected.awaitHealthStatus("200");
            connected.send(Client.request("menu-read", "Content-Length: 4\r\n") + "mark");
            ReceivedRequest first = server.nextRequest();
            assertTrue(first.message().endsWith("\r\n\r\nmark"), first.message());
            assertTrue(server.hasNoRequest());
        }
    }

    /** The client has sent more bytes than the buffer holds before it disconnects: the close is still detected. */
    @Test
    void aRequestWhoseClientDisconnectsAfterUnreadBytesIsNotForwarded() throws Exception {
        BalancerEventLatch abandoned = new BalancerEventLatch(event -> event instanceof RequestAbandoned);
        try (LoopbackNetwork net = LoopbackNetwork.builder(0)
                        .settings(LoopbackNetwork.NO_CONNECT_TIMEOUT)
                        .balancer(abandoned)
                        .start();
                ScriptedPeer delayed = ScriptedPeer.withDelayedAccept()) {
            Client client = clientWithPendingConnect(net, delayed);
            client.send("POST /ahead HTTP/1.1\r\nContent-Length: 40000\r\n\r\n" + "x".repeat(40_000));
            client.socket.close();
            abandoned.await();
            delayed.startAccepting();
            assertNoRequestArrived(delayed);
        }
    }

    /** The close of a client that sends endlessly cannot be detected: it gets an error, and nothing is forwarded. */
    @Test
    void tooManyBytesBeforeTheResponseAbandonTheRequest() throws Exception {
        BalancerEventLatch abandoned = new BalancerEventLatch(event -> event instanceof RequestAbandoned);
        try (LoopbackNetwork net = LoopbackNetwork.builder(0)
                        .settings(LoopbackNetwork.NO_CONNECT_TIMEOUT)
                        .balancer(abandoned)
                        .start();
                ScriptedPeer delayed = ScriptedPeer.withDelayedAccept()) {
            Client client = clientWithPendingConnect(net, delayed);
            client.send("x".repeat(400_000));
            abandoned.await();
            String response = client.read();
            assertTrue(response.startsWith("HTTP/1.1 400") && response.contains("too much was sent ahead"), response);
            assertNull(client.read());
            delayed.startAccepting();
            assertNoRequestArrived(delayed);
        }
    }

    /** A half-closed connection cannot be distinguished from a closed one, and counts as closed. */
    @Test
    void aHalfClosedClientCountsAsDisconnected() throws Exception {
        BalancerEventLatch abandoned = new BalancerEventLatch(event -> event instanceof RequestAbandoned);
        try (LoopbackNetwork net = LoopbackNetwork.builder(0)
                        .settings(LoopbackNetwork.NO_CONNECT_TIMEOUT)
                        .balancer(abandoned)
                        .start();
                ScriptedPeer delayed = ScriptedPeer.withDelayedAccept()) {
            Client client = clientWithPendingConnect(net, delayed);
            client.socket.shutdownOutput();
            abandoned.await();
            delayed.startAccepting();
            assertNoRequestArrived(delayed);
            assertNull(client.read());
        }
    }

    /** The exit of the process would reset a connection with unread bytes, and a response in flight would be lost. */
    @Test
    void aDrainEndsOnlyAfterClientsHaveClosedTheirConnections() throws Exception {
        AtomicBoolean closed = new AtomicBoolean();
        CompletableFuture<Client> clientReady = new CompletableFuture<>();
        CompletableFuture<LoopbackNetwork> networkReady = new CompletableFuture<>();
        UnaryOperator<Balancer> closesClientLater = balancer -> (now, event, out) -> {
            balancer.handle(now, event, out);
            if (event instanceof AttemptEnded) { // its response is written and the output shut down; same timer wheel
                networkReady.join().sidecar.loop().after(200, () -> {
                    closed.set(true);
                    try {
                        clientReady.join().socket.close();
                    } catch (IOException e) {
                        throw new IllegalStateException(e);
                    }
                });
            }
        };
        try (LoopbackNetwork net =
                LoopbackNetwork.builder(1).balancer(closesClientLater).start()) {
            networkReady.complete(net);
            Client client = net.client();
            clientReady.complete(client);
            client.sendRequest("menu-read");
            ReceivedRequest call = net.servers.get(0).next();
            CompletableFuture<Boolean> drained = new CompletableFuture<>();
            LoopbackNetwork.background(() -> {
                net.sidecar.drain(new DrainSchedule(1, 5_000));
                drained.complete(closed.get());
            });
            while (!net.callOnLoop(() -> net.sidecar.clients().isClosing())) {
                Thread.onSpinWait();
            }
            call.respond("200 OK", "");
            String response = client.read();
            assertTrue(response.startsWith("HTTP/1.1 200") && response.contains("Connection: close"), response);
            assertNull(client.read());
            assertTrue(drained.get(20, TimeUnit.SECONDS));
        }
    }

    /** A client whose request was accepted and waits for a connect to complete. */
    private static Client clientWithPendingConnect(LoopbackNetwork net, ScriptedPeer delayed) throws Exception {
        ReceivedRequest watch = net.beginWatch();
        watch.sendLine(LoopbackNetwork.catalogJson(8, false, List.of(delayed.endpointJson("delayed", "active"))));
        net.client().awaitHealthStatus("200");
        Client client = net.client();
        client.sendRequest("order-place");
        net.awaitRequestAccepted();
        return client;
    }

    /** No request arrives on the pending connections before the marker. */
    private static void assertNoRequestArrived(ScriptedPeer delayed) throws Exception {
        Client marker = new Client(delayed.address().getPort());
        marker.send("GET /mark HTTP/1.1\r\n\r\n");
        String first = delayed.nextRequest().message();
        assertTrue(first.startsWith("GET /mark "), first);
    }
}
