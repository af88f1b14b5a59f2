package dewplank.sidecar;

import static dewplank.sidecar.ResponseAssertions.assertConnectionEnd;
import static dewplank.sidecar.ResponseAssertions.assertStatus;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dewplank.balancer.Balancer;
import dewplank.balancer.Event.EndpointUpdate;
import dewplank.balancer.Event.UpdateKind;
import dewplank.sidecar.LoopbackNetwork.Client;
import dewplank.sidecar.LoopbackNetwork.ReceivedRequest;
import dewplank.sidecar.LoopbackNetwork.ScriptedPeer;
import java.util.List;
import java.util.function.UnaryOperator;
import org.junit.jupiter.api.Test;

/**
 * The watch of the endpoint list: its updates, its resumption, a change of discovery's address, and removed servers.
 */
class EndpointWatchTest {

    @Test
    void theWatchDeliversServersAndResumesFromItsVersion() throws Exception {
        try (LoopbackNetwork net = new LoopbackNetwork(0)) {
            Client client = net.client();
            client.send("GET /_health HTTP/1.1\r\n\r\n");
            assertStatus("503", client.read());
            ReceivedRequest watch = net.discovery.next();
            assertTrue(watch.message().startsWith("GET /catalog/members?stream=1&index=7 "), watch.message());
            ScriptedPeer server = new ScriptedPeer();
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

    /** A reload reopens the watch immediately: the old address sends no more updates and soon closes its watches. */
    @Test
    void theWatchIsReopenedAtDiscoverysNewAddress() throws Exception {
        UnaryOperator<Balancer> neverResubscribes = balancer -> (now, event, out) -> {
            if (!(event instanceof EndpointUpdate update && update.kind() == UpdateKind.BROKEN)) {
                balancer.handle(now, event, out);
            }
        };
        try (LoopbackNetwork net =
                        LoopbackNetwork.builder(1).balancer(neverResubscribes).start();
                ScriptedPeer newDiscovery = new ScriptedPeer()) {
            ReceivedRequest old = net.discovery.next();
            old.beginWatch();
            net.sidecar.reload(net.withDiscovery(newDiscovery.address()));
            ReceivedRequest watch = newDiscovery.next();
            assertTrue(watch.message().startsWith("GET /catalog/members?stream=1&index=7 "), watch.message());
            assertNull(net.discovery.next().message());
            watch.beginWatch();
            watch.sendLine(LoopbackNetwork.catalogJson(8, true, List.of()));
            Client client = net.client();
            client.awaitHealthStatus("503");
        }
    }

    /** Servers are often replaced under new ids, so the state of a removed server must be released. */
    @Test
    void connectionsToAServerAreClosedWhenItIsRemoved() throws Exception {
        try (LoopbackNetwork net = new LoopbackNetwork(1)) {
            ReceivedRequest watch = net.discovery.next();
            ScriptedPeer server = net.servers.get(0);
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
            assertConnectionEnd(firstCall, server.next());
            secondCall.respond("200 OK", "");
            assertStatus("200", second.read());
            assertConnectionEnd(secondCall, server.next());
        }
    }
}
