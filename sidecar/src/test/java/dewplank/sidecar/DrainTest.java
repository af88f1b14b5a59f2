package dewplank.sidecar;

import static dewplank.sidecar.ResponseAssertions.assertLastResponse;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dewplank.sidecar.LoopbackNetwork.Client;
import dewplank.sidecar.LoopbackNetwork.ReceivedRequest;
import java.io.IOException;
import java.net.ConnectException;
import java.util.List;
import java.util.concurrent.FutureTask;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Graceful shutdown: which clients a draining sidecar still serves, how it ends, and its schedule. */
class DrainTest {

    /** During a planned restart, clients continue to connect for some time. */
    @Test
    void aDrainingSidecarServesNewClients() throws Exception {
        try (LoopbackNetwork net = new LoopbackNetwork(1)) {
            Client before = net.client();
            serve(net, before, "one");
            drain(net, 60_000, 60_000);
            net.sidecar.awaitDrainStarted();
            serve(net, before, "two"); // regression: an idle connection was closed after this response
            serve(net, before, "three");
            serve(net, net.client(), "four");
        }
    }

    /**
     * Regression: idle connections were closed to free capacity. A draining sidecar gets no new connections, and a
     * client may have no other sidecar.
     */
    @Test
    void aDrainingSidecarClosesNoConnectionToFreeCapacity() throws Exception {
        try (LoopbackNetwork net = new LoopbackNetwork(1)) {
            List<Client> idle = net.openClientsUpToIdleCapacity();
            Client client = net.client();
            drain(net, 60_000, 60_000);
            net.sidecar.awaitDrainStarted();
            serve(net, client, "one");
            serve(net, client, "two");
            for (Client idleClient : idle) {
                idleClient.socket.close();
            }
        }
    }

    @Test
    void aDrainEndsWhenAllAcceptedRequestsAreComplete() throws Exception {
        try (LoopbackNetwork net = new LoopbackNetwork(1)) {
            Client client = net.client();
            client.sendRequest("menu-read");
            ReceivedRequest call = net.servers.get(0).next();
            FutureTask<Void> drain = drain(net, 0, 60_000);
            net.sidecar.awaitDrainStarted();
            assertNull(responseToNewClient(net));
            call.respond("200 OK", "old");
            assertLastResponse(client, "200");
            drain.get();
        }
    }

    @Test
    void aDrainingSidecarClosesAnAcceptedConnectionWithoutARequest() throws Exception {
        try (LoopbackNetwork net = new LoopbackNetwork(1)) {
            Client idle = net.client();
            Client busy = net.client();
            busy.sendRequest("menu-read");
            ReceivedRequest call =
                    net.servers.get(0).next(); // connections are accepted in order, so the idle one is accepted too
            FutureTask<Void> drain = drain(net, 0, 60_000);
            assertNull(idle.read()); // closed gracefully, not reset
            call.respond("200 OK", "");
            drain.get();
        }
    }

    /** The system resets connections in the backlog when the listener closes; the sidecar never accepted them. */
    @Test
    void aConnectionInTheBacklogOfADrainingSidecarGetsNoResponse() throws Exception {
        try (LoopbackNetwork net = new LoopbackNetwork(1)) {
            for (int index = 1; index < net.config.maxClientConnections(); index++) {
                net.client().send("POST"); // incomplete: a connection that sends nothing is closed at the limit
            }
            Client last = net.client();
            last.sendRequest("menu-read");
            ReceivedRequest call = net.servers.get(0).next(); // accepted in order, so the limit is reached
            Client queued = net.client();
            FutureTask<Void> drain = drain(net, 0, 60_000);
            assertNull(queued.readUnlessReset());
            call.respond("200 OK", "");
            assertLastResponse(last, "200");
            drain.get();
        }
    }

    /**
     * Returns the response to a client that connects while the sidecar stops accepting connections: null if the
     * connection is refused, reset in the backlog, or accepted and closed.
     */
    private static String responseToNewClient(LoopbackNetwork net) throws IOException {
        try {
            return net.client().readUnlessReset();
        } catch (ConnectException e) {
            return null;
        }
    }

    /**
     * Requests that are still open at SIGKILL get no response. An order that may have run therefore fails before that,
     * and is never rejected.
     */
    @Test
    void requestsStillOpenBeforeAKillAreFailed() throws Exception {
        try (LoopbackNetwork net = new LoopbackNetwork(1)) {
            Client client = net.client();
            client.sendRequest("order-place");
            net.servers.get(0).next();
            FutureTask<Void> drain = drain(net, 0, 300);
            assertLastResponse(client, "502");
            drain.get();
        }
    }

    /** SIGKILL follows at least 0.7 s after the longest deadline, which counts as at most 3 s. */
    @ParameterizedTest
    @CsvSource({"2750, 3500, 6000, 750", "1300, 1700, 1200, 400", "600, 1500, 1000, 2000"})
    void requestsAreAcceptedWhileTheyCanCompleteBeforeAKill(
            double acceptForMs, double completeByMs, double maxDeadlineMs, double minLatencyTargetMs) {
        assertEquals(new DrainSchedule(acceptForMs, completeByMs), DrainSchedule.of(maxDeadlineMs, minLatencyTargetMs));
    }

    private static void serve(LoopbackNetwork net, Client client, String body) throws Exception {
        client.sendRequest("menu-read");
        net.servers.get(0).next().respond("200 OK", body);
        assertTrue(client.read().endsWith("\r\n\r\n" + body));
    }

    private static FutureTask<Void> drain(LoopbackNetwork net, double acceptForMs, double completeByMs) {
        FutureTask<Void> drain = new FutureTask<>(() -> {
            net.sidecar.drain(new DrainSchedule(acceptForMs, completeByMs));
            return null;
        });
        Thread thread = new Thread(drain);
        thread.setDaemon(true);
        thread.start();
        return drain;
    }
}
