package dewplank.dataplane;

import static dewplank.dataplane.ClientRequests.HOST;
import static dewplank.dataplane.ClientRequests.PROMPT;
import static dewplank.dataplane.ClientRequests.request;
import static dewplank.dataplane.Expectations.assertResumed;
import static dewplank.dataplane.Expectations.assertServed;
import static dewplank.dataplane.ServerAnswers.serve;
import static dewplank.dataplane.TestConfiguration.OTHER;
import static dewplank.dataplane.TestConfiguration.PLAIN;
import static dewplank.dataplane.TestRoute.safeRoute;
import static dewplank.dataplane.TestRoute.streamingRoute;
import static dewplank.dataplane.TestRoute.unsafeRoute;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotSame;
import static org.junit.jupiter.api.Assertions.assertSame;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dewplank.exchange.OnLoop;
import dewplank.exchange.ScriptedServer;
import dewplank.exchange.ScriptedServer.Call;
import dewplank.exchange.Wire;
import dewplank.message.Endpoint;
import dewplank.message.EndpointList;
import dewplank.message.EndpointListVersion;
import dewplank.routing.TrackedServer;
import java.io.IOException;
import java.util.Arrays;
import java.util.List;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Updates of the data plane's view of the fleet, also while requests are in flight. */
class FleetMetadataTest {
    private ForwarderFixture net;

    @BeforeEach
    void begin() throws Exception {
        net = ForwarderFixture.builder().start();
    }

    @AfterEach
    void end() throws IOException {
        net.close();
    }

    // ---- stale updates -------------------------------------------------------------------------------

    @Test
    void aStaleConfigurationIsDiscarded() throws Exception {
        FleetMetadata view = net.metadata;
        OnLoop.run(net.loop, () -> {
            view.updateConfiguration(TestConfiguration.of(5, 100, safeRoute("new", 1)));
            view.updateConfiguration(TestConfiguration.of(4, 100, safeRoute("old", 1)));
            view.updateConfiguration(TestConfiguration.of(5, 100, safeRoute("twin", 1)));
        });
        assertEquals(5, view.configurationVersion());
        assertEquals("new", view.routes().find(HOST, "/new/").name());
        net.servers.plain();
        assertEquals(404, net.sendRequest("/old/").read().status());
        assertEquals(404, net.sendRequest("/twin/").read().status());
        OnLoop.run(net.loop, () -> view.updateConfiguration(TestConfiguration.of(9, 100, safeRoute("newer", 1))));
        assertEquals(404, net.sendRequest("/new/").read().status());
    }

    private static EndpointList list(long number, long revision, String... instances) {
        List<Endpoint> entries = Arrays.stream(instances)
                .map(instance -> new Endpoint(instance, PLAIN, "127.0.0.1:9", ScriptedFleet.ZONE, 4, false, 0, null))
                .toList();
        return new EndpointList(new EndpointListVersion(number, revision), entries);
    }

    private List<String> listed(EndpointList list) throws Exception {
        return OnLoop.get(net.loop, () -> {
            net.metadata.updateServers(list);
            return net.metadata.servers(PLAIN).stream()
                    .map(TrackedServer::instanceId)
                    .toList();
        });
    }

    @Test
    void aStaleEndpointListIsDiscarded() throws Exception {
        assertEquals(List.of("a"), listed(list(2, 7, "a")));
        assertEquals(List.of("a"), listed(list(2, 6, "b")));
        assertEquals(List.of("a"), listed(list(2, 7, "b")));
        assertEquals(List.of("a"), listed(list(1, 99, "b")), "a higher count under a lower fencing number is older");
        assertEquals(new EndpointListVersion(2, 7), net.metadata.listVersion());
        assertEquals(List.of("b"), listed(list(3, 1, "b")), "a lower count under a higher fencing number is newer");
        assertEquals(List.of(), listed(list(3, 2)));
        assertEquals(List.of(), listed(list(3, 1, "b")));
    }

    @Test
    void anEmptyEndpointListCompletesTheMetadata() throws Exception {
        assertFalse(net.metadata.isComplete());
        OnLoop.run(net.loop, () -> net.metadata.updateConfiguration(TestConfiguration.of(1, 100, safeRoute("r", 1))));
        assertFalse(net.metadata.isComplete());
        listed(list(1, 1));
        assertTrue(net.metadata.isComplete());
    }

    @Test
    void aServerKeepsItsStateAcrossEndpointLists() throws Exception {
        listed(list(1, 1, "a", "b"));
        TrackedServer kept =
                OnLoop.get(net.loop, () -> net.metadata.servers(PLAIN).get(0));
        listed(list(1, 2, "c", "a"));
        assertTrue(OnLoop.get(net.loop, () -> net.metadata.servers(PLAIN).contains(kept)));
        assertTrue(kept.isReady());
        listed(list(1, 3, "c"));
        assertFalse(kept.isReady());
        listed(list(1, 4, "a"));
        assertNotSame(
                kept, OnLoop.get(net.loop, () -> net.metadata.servers(PLAIN).get(0)));
    }

    // ---- draining and removed servers ----------------------------------------------------------------

    @Test
    void idleConnectionsToADrainingServerAreClosed() throws Exception {
        net.routes(unsafeRoute("once", 1));
        ScriptedServer server = net.servers.plain();
        Wire client = net.sendRequest("/once/");
        Call call = net.nextCall();
        serve(call, "");
        client.read();
        assertFalse(call.wire().isEnded());
        net.servers.drain(server);
        call.wire().awaitEnd();
        assertEquals(503, net.sendRequest("/once/").read().status());
        assertEquals(0, net.servers.calls.size());
    }

    @Test
    void aRequestInFlightAtADrainingServerIsServedAndItsConnectionClosed() throws Exception {
        net.routes(unsafeRoute("once", 1));
        ScriptedServer server = net.servers.plain();
        Wire drained = net.sendRequest("/once/");
        Call atDrain = net.nextCall();
        net.servers.drain(server);
        assertServed(atDrain, drained, "drained");
        atDrain.wire().awaitEnd();
    }

    @Test
    void aRequestInFlightAtARemovedServerIsServedAndItsConnectionClosed() throws Exception {
        net.routes(unsafeRoute("once", 1));
        ScriptedServer server = net.servers.plain();
        Wire client = net.sendRequest("/once/");
        Call call = net.nextCall();
        net.servers.remove(server);
        assertServed(call, client, "gone");
        call.wire().awaitEnd();
        assertEquals(503, net.sendRequest("/once/").read().status());
    }

    @Test
    void aStreamInFlightAtADrainingServerContinues() throws Exception {
        net.routes(streamingRoute("gen", 1));
        ScriptedServer server = net.servers.decode();
        BegunStream stream = BegunStream.begin(net, "/gen/", PROMPT);
        net.servers.drain(server);
        stream.assertRelays(2);
        net.servers.remove(server);
        stream.assertRelays(3);
        stream.assertEnds();
        stream.server().awaitEnd();
    }

    /** A server resets a request after it was removed: the retry goes to a server of the new endpoint list. */
    @Test
    void aRetryUsesTheNewEndpointList() throws Exception {
        net.routes(safeRoute("safe", 3));
        ScriptedServer old = net.servers.plain();
        Wire client = net.sendRequest("/safe/");
        Call call = net.nextCall();
        ScriptedServer next = net.servers.plain();
        net.servers.remove(old);
        call.wire().reset();
        Call retry = net.nextCall();
        assertSame(next, retry.server());
        assertServed(retry, client, "served");
        net.assertQuiet();
    }

    // ---- changes of configuration ---------------------------------------------------------------------

    @Test
    void aRequestInFlightKeepsItsConfigurationAndTheNextUsesTheNewOne() throws Exception {
        net.routes(unsafeRoute("r", 1), unsafeRoute("gone", 1));
        ScriptedServer old = net.servers.plain();
        ScriptedServer other = net.servers.server("other", null);
        Wire client = net.sendRequest("/r/");
        Call before = net.nextCall();
        Wire leaving = net.sendRequest("/gone/");
        Call removed = net.nextCall();
        assertSame(old, before.server());
        client.send(request("/r/ahead", "", ""));
        net.routes(unsafeRoute("r", 1).toService(OTHER), unsafeRoute("new", 1));
        assertServed(before, client, "by the old");
        Call after = net.nextCall();
        assertSame(other, after.server(), "sent ahead, and looked at once the new one is in force");
        assertServed(after, client, "by the new");
        assertServed(removed, leaving, "still");
        leaving.send(request("/gone/", "", ""));
        assertEquals(404, leaving.read().status());
        leaving.send(request("/new/", "", ""));
        assertServed(net.nextCall(), leaving, "added");
        net.assertQuiet();
    }

    @Test
    void aStreamIsResumedUnderTheConfigurationItBeganWith() throws Exception {
        net.routes(streamingRoute("gen", 2).asResumable());
        net.servers.decodeServers(2);
        BegunStream stream = BegunStream.begin(net, "/gen/", PROMPT);
        net.routes(streamingRoute("gen", 1));
        stream.server().reset();
        assertResumed(net.nextCall(), stream.client(), 2);
    }
}
