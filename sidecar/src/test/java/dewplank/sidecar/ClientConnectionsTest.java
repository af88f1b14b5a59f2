package dewplank.sidecar;

import static dewplank.sidecar.ResponseAssertions.assertLastResponse;
import static dewplank.sidecar.ResponseAssertions.assertStatus;
import static org.junit.jupiter.api.Assertions.assertNull;

import dewplank.sidecar.LoopbackNetwork.Client;
import dewplank.sidecar.LoopbackNetwork.ReceivedRequest;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Client connections without a request: when they are closed to free capacity, and when they stay open. */
class ClientConnectionsTest {

    /**
     * Regression: clients that sent one request and kept their connections open exhausted the connection limit, and no
     * others were accepted. Connections that sent nothing and incomplete requests had the same effect.
     */
    @Test
    void connectionsWithoutRequestsAreClosedToFreeCapacity() throws Exception {
        try (LoopbackNetwork net = new LoopbackNetwork(1)) {
            List<Client> idle = new ArrayList<>();
            for (int index = 0;
                    index <= net.config.maxClientConnections() / ClientConnections.IDLE_CAPACITY_DIVISOR;
                    index++) {
                idle.add(net.client());
                idle.get(index).send("GET /_health HTTP/1.1\r\n\r\n");
                assertStatus("200", idle.get(index).read());
            }
            Client unused = net.client();
            Client incomplete = net.client();
            incomplete.send("GET /half HTTP");
            Client busy = net.client();
            busy.sendRequest("menu-read");
            ReceivedRequest call = net.servers.get(0).next(); // all connections are accepted by now
            net.runOnLoop(() -> net.sidecar.closeTimedOut(net.sidecar.loop().now() + 3_000));
            assertNull(unused.read());
            assertLastResponse(incomplete, "408");
            for (Client client : idle) {
                assertNull(client.read());
            }
            call.respond("200 OK", "");
            assertStatus("200", busy.read());
        }
    }

    /** Regression: 128 clients sent one request, kept their connections open, and could open no others. */
    @Test
    void aboveTheIdleCapacityAConnectionIsClosedAfterItsResponse() throws Exception {
        try (LoopbackNetwork net = new LoopbackNetwork(1)) {
            List<Client> idle = net.openClientsUpToIdleCapacity();
            Client additional = net.client();
            additional.sendRequest("menu-read");
            net.servers.get(0).next().respond("200 OK", "");
            assertLastResponse(additional, "200");
            close(idle);
        }
    }

    /** An idle connection saves its client a new connect: it stays open while there is capacity. */
    @Test
    void anIdleConnectionStaysOpenWhileThereIsCapacity() throws Exception {
        try (LoopbackNetwork net = new LoopbackNetwork(1)) {
            Client client = net.client();
            for (int index = 0; index < 2; index++) {
                client.send("GET /_health HTTP/1.1\r\n\r\n");
                assertStatus("200", client.read());
                net.runOnLoop(() -> net.sidecar.closeTimedOut(net.sidecar.loop().now() + 3_000));
            }
        }
    }

    /** Connections that send nothing must not block a connection with a request until their 2 s have passed. */
    @Test
    void connectionsThatSendNothingAreClosedEarlyAtTheLimit() throws Exception {
        try (LoopbackNetwork net = new LoopbackNetwork(1)) {
            List<Client> unused = new ArrayList<>();
            for (int index = 0; index < net.config.maxClientConnections(); index++) {
                unused.add(net.client());
            }
            Client newClient = net.client();
            newClient.sendRequest("menu-read");
            net.servers.get(0).next().respond("200 OK", "");
            assertStatus("200", newClient.read());
            assertNull(unused.get(0).read());
        }
    }

    private static void close(List<Client> clients) throws IOException {
        for (Client client : clients) {
            client.socket.close();
        }
    }
}
