package dewplank.sidecar;

import static dewplank.sidecar.ResponseAssertions.assertStatus;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dewplank.balancer.Action;
import dewplank.balancer.Action.Subscribe;
import dewplank.balancer.Balancer;
import dewplank.balancer.Event.EndpointUpdate;
import dewplank.balancer.Event.UpdateKind;
import dewplank.discovery.CatalogUpdate;
import dewplank.discovery.DiscoveryClient;
import dewplank.net.EventLoop;
import dewplank.settings.Fields;
import dewplank.settings.Json;
import dewplank.sidecar.LoopbackNetwork.Client;
import dewplank.sidecar.LoopbackNetwork.ReceivedRequest;
import dewplank.sidecar.LoopbackNetwork.ScriptedPeer;
import java.io.IOException;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.FutureTask;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.function.UnaryOperator;
import org.junit.jupiter.api.Test;

/**
 * Endpoint lists that are late, repeated, out of order, chunked, or from two addresses of discovery at the same time.
 */
class DiscoveryClientTest {
    private static final UnaryOperator<String> PUSHED = settings -> settings.replace("\"on_request\"", "\"pushed\"");

    /** Regression: if lists were pushed, no watch was opened, so draining servers were not detected. */
    @Test
    void ifListsArePushedTheWatchIsReopenedImmediately() throws Exception {
        try (LoopbackNetwork net = LoopbackNetwork.builder(1).settings(PUSHED).start()) {
            ReceivedRequest watch = net.discovery.next();
            assertTrue(watch.message().startsWith("GET /catalog/members?stream=1&index=7 "), watch.message());
            watch.beginWatch();
            watch.sendLine("");
            Client client = net.client();
            client.awaitHealthStatus("200");
            watch.reset();
            ReceivedRequest reopened = net.discovery.nextRequest();
            reopened.beginWatch();
            reopened.sendLine(LoopbackNetwork.catalogJson(
                    8, false, List.of(net.servers.get(0).endpointJson("s0", "leaving"))));
            client.awaitHealthStatus("503");
        }
    }

    /**
     * Discovery counts its updates as delivered from the start of the process, but the process starts with a list that
     * may be out of date.
     */
    @Test
    void ifListsArePushedNoRequestIsSentBeforeTheFirstList() throws Exception {
        BlockingQueue<UpdateKind> updates = new LinkedBlockingQueue<>();
        EventLoop loop = new EventLoop();
        try (ScriptedPeer discoveryServer = new ScriptedPeer();
                ScriptedPeer server = new ScriptedPeer()) {
            DiscoveryClient discovery = new DiscoveryClient(
                    loop, discoveryServer.address(), false, true, update -> updates.add(update.kind()));
            CatalogUpdate initialCatalog = CatalogUpdate.of(new Fields(
                    Json.object(LoopbackNetwork.catalogJson(7, true, List.of(server.endpointJson("s0", "active")))),
                    "known "));
            FutureTask<Boolean> beforeUpdates = new FutureTask<>(() -> {
                discovery.start(initialCatalog);
                return discovery.hasAvailableServer() || discovery.acceptsRequests("s0");
            });
            loop.execute(beforeUpdates);
            assertFalse(beforeUpdates.get());
            ReceivedRequest watch = discoveryServer.next();
            watch.beginWatch();
            watch.sendLine(LoopbackNetwork.catalogJson(8, false, List.of(server.endpointJson("s1", "active"))));
            assertNotNull(updates.poll(20, TimeUnit.SECONDS));
            assertNotNull(updates.poll(20, TimeUnit.SECONDS));
            FutureTask<Boolean> afterUpdates =
                    new FutureTask<>(() -> discovery.hasAvailableServer() && discovery.acceptsRequests("s0"));
            loop.execute(afterUpdates);
            assertTrue(afterUpdates.get());
        } finally {
            loop.stop();
        }
    }

    /** A reload may happen at the end of a drain. */
    @Test
    void anAddressChangeAfterTheCloseOpensNoWatch() throws Exception {
        EventLoop loop = new EventLoop();
        try (ScriptedPeer discoveryServer = new ScriptedPeer();
                ScriptedPeer newDiscovery = new ScriptedPeer();
                ScriptedPeer probe = new ScriptedPeer()) {
            DiscoveryClient discovery =
                    new DiscoveryClient(loop, discoveryServer.address(), false, false, update -> {});
            DiscoveryClient open = new DiscoveryClient(loop, discoveryServer.address(), false, false, update -> {});
            loop.execute(() -> {
                discovery.close();
                discovery.changeAddress(newDiscovery.address());
                open.changeAddress(probe.address());
            });
            assertNotNull(probe.next());
            assertTrue(newDiscovery.hasNoRequest());
        } finally {
            loop.stop();
        }
    }

    @Test
    void aListMayBeIndentedAndChunked() throws Exception {
        try (LoopbackNetwork net = new LoopbackNetwork(0)) {
            ReceivedRequest watch = net.beginWatch();
            String list = LoopbackNetwork.catalogJson(
                                    8, false, List.of(new ScriptedPeer().endpointJson("s{\\\"}0", "active")))
                            .replace(",", ",\n\t")
                            .replace("{\"id\"", "{\r\n \"id\"")
                    + "\n\n";
            for (int index = 0; index < list.length(); index++) {
                watch.connection().send("1\r\n" + list.charAt(index) + "\r\n");
            }
            net.client().awaitHealthStatus("200");
        }
    }

    /** A delayed list, or one from a lagging replica, would list a draining server as active again. */
    @Test
    void anOlderListThatArrivesLastIsIgnored() throws Exception {
        BalancerEventLatch last = BalancerEventLatch.forUpdateOf("last");
        try (LoopbackNetwork net = LoopbackNetwork.builder(1).balancer(last).start()) {
            ScriptedPeer server = net.servers.get(0);
            ReceivedRequest watch = net.beginWatch();
            watch.sendLine(LoopbackNetwork.catalogJson(9, false, List.of(server.endpointJson("s0", "leaving"))));
            watch.sendLine(LoopbackNetwork.catalogJson(8, true, List.of(server.endpointJson("s0", "active"))));
            watch.sendLine(LoopbackNetwork.catalogJson(10, false, List.of(server.endpointJson("last", "leaving"))));
            last.await();
            Client client = net.client();
            client.send("GET /_health HTTP/1.1\r\n\r\n");
            assertStatus("503", client.read());
        }
    }

    /** Otherwise each loss of an idle watch would increase the backoff, and draining servers would not be detected. */
    @Test
    void anEmptyLineCountsAsAnUpdate() throws Exception {
        BalancerEventLatch updated = new BalancerEventLatch(
                event -> event instanceof EndpointUpdate update && update.kind() == UpdateKind.INCREMENTAL);
        try (LoopbackNetwork net = LoopbackNetwork.builder(1).balancer(updated).start()) {
            ReceivedRequest watch = net.beginWatch();
            watch.sendLine("");
            updated.await();
        }
    }

    /** SIGHUP arrives between the end of a watch and the subscribe that follows, which keeps the watch already open. */
    @Test
    void aSubscribeAfterAnAddressChangeOpensNoSecondWatch() throws Exception {
        BalancerEventLatch broken = new BalancerEventLatch(
                event -> event instanceof EndpointUpdate update && update.kind() == UpdateKind.BROKEN);
        BlockingQueue<Action> subscribes = new LinkedBlockingQueue<>();
        UnaryOperator<Balancer> recordsSubscribes =
                balancer -> (now, event, out) -> balancer.handle(now, event, action -> {
                    out.accept(action);
                    if (action instanceof Subscribe) {
                        subscribes.add(action);
                    }
                });
        try (LoopbackNetwork net = LoopbackNetwork.builder(1)
                        .balancer(balancer -> recordsSubscribes.apply(broken.apply(balancer)))
                        .start();
                ScriptedPeer newDiscovery = new ScriptedPeer()) {
            assertNotNull(subscribes.poll(20, TimeUnit.SECONDS));
            net.discovery.next().reset();
            broken.await(); // the next subscribe is due in 250 ms at the earliest
            net.sidecar.reload(net.withDiscovery(newDiscovery.address()));
            ReceivedRequest watch = newDiscovery.next();
            watch.beginWatch();
            assertNotNull(subscribes.poll(20, TimeUnit.SECONDS));
            net.callOnLoop(() -> null);
            watch.sendLine(LoopbackNetwork.catalogJson(
                    8, false, List.of(net.servers.get(0).endpointJson("s0", "leaving"))));
            net.client().awaitHealthStatus("503");
            assertTrue(newDiscovery.hasNoRequest());
        }
    }

    /** Updates from the old address that are in flight when discovery's address changes are ignored. */
    @Test
    void aListFromTheOldAddressIsIgnoredAfterAnAddressChange() throws Exception {
        BalancerEventLatch listed = BalancerEventLatch.forUpdateOf("s1");
        BalancerEventLatch watchOpened = new BalancerEventLatch(
                event -> event instanceof EndpointUpdate update && update.kind() == UpdateKind.INCREMENTAL);
        try (LoopbackNetwork net = LoopbackNetwork.builder(1)
                        .balancer(balancer -> listed.apply(watchOpened.apply(balancer)))
                        .start();
                ScriptedPeer newDiscovery = new ScriptedPeer()) {
            ReceivedRequest old = net.discovery.next();
            old.beginWatch();
            old.sendLine("");
            watchOpened.await(); // all earlier bytes are read: later ones arrive after the address change
            net.callOnLoop(
                    () -> { // the address change is queued before the list from the old address
                        net.sidecar.reload(net.withDiscovery(newDiscovery.address()));
                        old.sendLine(LoopbackNetwork.catalogJson(20, true, List.of()));
                        return null;
                    });
            ReceivedRequest watch = newDiscovery.next();
            watch.beginWatch();
            watch.sendLine(LoopbackNetwork.catalogJson(
                    8, false, List.of(net.servers.get(0).endpointJson("s1", "leaving"))));
            listed.await();
            Client client = net.client();
            client.send("GET /_health HTTP/1.1\r\n\r\n");
            String response = client.read();
            assertStatus("200", response);
            assertThrows(
                    IOException.class,
                    () -> { // the old connection is closed
                        for (int index = 0; index < 100_000; index++) {
                            old.sendLine("");
                        }
                    });
        }
    }
}
