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

/** Endpoint lists that are late, repeated, out of order, chunked, or from two addresses of discovery at once. */
class DiscoveryClientTest {
    private static final UnaryOperator<String> PUSHED = settings -> settings.replace("\"on_request\"", "\"pushed\"");

    /** Regression: where lists are pushed no watch was opened, so draining servers were not noticed. */
    @Test
    void whereListsArePushedTheWatchIsReopenedAtOnce() throws Exception {
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

    /** The agent's updates count as delivered from the start of the process: its initial list may be out of date. */
    @Test
    void whereListsArePushedNothingIsSentBeforeTheFirst() throws Exception {
        BlockingQueue<UpdateKind> updates = new LinkedBlockingQueue<>();
        EventLoop loop = new EventLoop();
        try (ScriptedPeer agent = new ScriptedPeer();
                ScriptedPeer server = new ScriptedPeer()) {
            DiscoveryClient discovery =
                    new DiscoveryClient(loop, agent.address(), false, true, update -> updates.add(update.kind()));
            CatalogUpdate initialCatalog = CatalogUpdate.of(new Fields(
                    Json.object(LoopbackNetwork.catalogJson(7, true, List.of(server.endpointJson("s0", "active")))),
                    "known "));
            FutureTask<Boolean> beforeUpdates = new FutureTask<>(() -> {
                discovery.start(initialCatalog);
                return discovery.hasAvailableServer() || discovery.acceptsRequests("s0");
            });
            loop.execute(beforeUpdates);
            assertFalse(beforeUpdates.get());
            ReceivedRequest watch = agent.next();
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

    /** A reload may come in the last moments of a drain. */
    @Test
    void aMoveOnceClosedOpensNoWatch() throws Exception {
        EventLoop loop = new EventLoop();
        try (ScriptedPeer agent = new ScriptedPeer();
                ScriptedPeer moved = new ScriptedPeer();
                ScriptedPeer probe = new ScriptedPeer()) {
            DiscoveryClient discovery = new DiscoveryClient(loop, agent.address(), false, false, update -> {});
            DiscoveryClient open = new DiscoveryClient(loop, agent.address(), false, false, update -> {});
            loop.execute(() -> {
                discovery.close();
                discovery.moveTo(moved.address());
                open.moveTo(probe.address());
            });
            assertNotNull(probe.next());
            assertTrue(moved.hasNoRequest());
        } finally {
            loop.stop();
        }
    }

    @Test
    void aListMayComeIndentedAndInChunks() throws Exception {
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

    /** A delayed list, or one from a replica that lags, would undo the draining of a server. */
    @Test
    void anOlderListThatComesLastIsIgnored() throws Exception {
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

    /** Otherwise each break of an idle watch would lengthen the backoff, and draining servers be missed meanwhile. */
    @Test
    void anEmptyLineCountsAsAnUpdate() throws Exception {
        BalancerEventLatch answered = new BalancerEventLatch(
                event -> event instanceof EndpointUpdate update && update.kind() == UpdateKind.INCREMENTAL);
        try (LoopbackNetwork net = LoopbackNetwork.builder(1).balancer(answered).start()) {
            ReceivedRequest watch = net.beginWatch();
            watch.sendLine("");
            answered.await();
        }
    }

    /** SIGHUP between a watch's end and the subscribe that follows: that finds a watch open and keeps it. */
    @Test
    void aSubscribeDueWhenDiscoveryMovedOpensNoSecondWatch() throws Exception {
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
                ScriptedPeer moved = new ScriptedPeer()) {
            assertNotNull(subscribes.poll(20, TimeUnit.SECONDS));
            net.discovery.next().reset();
            broken.await(); // the next call is due in a quarter of a second at the soonest
            net.sidecar.reload(net.withDiscovery(moved.address()));
            ReceivedRequest watch = moved.next();
            watch.beginWatch();
            assertNotNull(subscribes.poll(20, TimeUnit.SECONDS));
            net.callOnLoop(() -> null);
            watch.sendLine(LoopbackNetwork.catalogJson(
                    8, false, List.of(net.servers.get(0).endpointJson("s0", "leaving"))));
            net.client().awaitHealthStatus("503");
            assertTrue(moved.hasNoRequest());
        }
    }

    /** Updates of the old address that are in flight when discovery moves are ignored. */
    @Test
    void aListOfTheOldDiscoveryAfterAMoveIsIgnored() throws Exception {
        BalancerEventLatch listed = BalancerEventLatch.forUpdateOf("s1");
        BalancerEventLatch watchOpened = new BalancerEventLatch(
                event -> event instanceof EndpointUpdate update && update.kind() == UpdateKind.INCREMENTAL);
        try (LoopbackNetwork net = LoopbackNetwork.builder(1)
                        .balancer(balancer -> listed.apply(watchOpened.apply(balancer)))
                        .start();
                ScriptedPeer moved = new ScriptedPeer()) {
            ReceivedRequest old = net.discovery.next();
            old.beginWatch();
            old.sendLine("");
            watchOpened.await(); // all that came so far is read: what comes now arrives after the move
            net.callOnLoop(
                    () -> { // the move is queued before what the old one sends now
                        net.sidecar.reload(net.withDiscovery(moved.address()));
                        old.sendLine(LoopbackNetwork.catalogJson(20, true, List.of()));
                        return null;
                    });
            ReceivedRequest watch = moved.next();
            watch.beginWatch();
            watch.sendLine(LoopbackNetwork.catalogJson(
                    8, false, List.of(net.servers.get(0).endpointJson("s1", "leaving"))));
            listed.await();
            Client client = net.client();
            client.send("GET /_health HTTP/1.1\r\n\r\n");
            String answer = client.read();
            assertStatus("200", answer);
            assertThrows(
                    IOException.class,
                    () -> { // and its connection is closed
                        for (int index = 0; index < 100_000; index++) {
                            old.sendLine("");
                        }
                    });
        }
    }
}
