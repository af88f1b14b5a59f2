package dewplank.dataplane;

import static dewplank.dataplane.ClientRequests.HOST;
import static dewplank.dataplane.ClientRequests.PROMPT;
import static dewplank.dataplane.ClientRequests.request;
import static dewplank.dataplane.Expectations.assertResumed;
import static dewplank.dataplane.Expectations.assertServed;
import static dewplank.dataplane.ServerResponses.serve;
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
import dewplank.exchange.TestPeer;
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

/** Updates of the fleet's metadata, also while requests are in flight. */
class FleetMetadataTest {
    private ForwarderFixture fixture;

    @BeforeEach
    void setUp() throws Exception {
        fixture = ForwarderFixture.builder().start();
    }

    @AfterEach
    void tearDown() throws IOException {
        fixture.close();
    }

    // ---- stale updates -------------------------------------------------------------------------------

    @Test
    void aStaleConfigurationIsDiscarded() throws Exception {
        FleetMetadata metadata = fixture.metadata;
        OnLoop.run(fixture.loop, () -> {
            metadata.updateConfiguration(TestConfiguration.of(5, 100, safeRoute("new", 1)));
            metadata.updateConfiguration(TestConfiguration.of(4, 100, safeRoute("old", 1)));
            metadata.updateConfiguration(TestConfiguration.of(5, 100, safeRoute("equal", 1)));
        });
        assertEquals(5, metadata.configurationVersion());
        assertEquals("new", metadata.routes().find(HOST, "/new/").name());
        fixture.servers.plain();
        assertEquals(404, fixture.sendRequest("/old/").read().status());
        assertEquals(404, fixture.sendRequest("/equal/").read().status());
        OnLoop.run(
                fixture.loop, () -> metadata.updateConfiguration(TestConfiguration.of(9, 100, safeRoute("newer", 1))));
        assertEquals(404, fixture.sendRequest("/new/").read().status());
    }

    private static EndpointList list(long fencingToken, long revision, String... instances) {
        List<Endpoint> entries = Arrays.stream(instances)
                .map(instance -> new Endpoint(instance, PLAIN, "127.0.0.1:9", ScriptedFleet.ZONE, 4, false, 0, null))
                .toList();
        return new EndpointList(new EndpointListVersion(fencingToken, revision), entries);
    }

    private List<String> listedAfter(EndpointList list) throws Exception {
        return OnLoop.get(fixture.loop, () -> {
            fixture.metadata.updateServers(list);
            return fixture.metadata.servers(PLAIN).stream()
                    .map(TrackedServer::instanceId)
                    .toList();
        });
    }

    @Test
    void aStaleEndpointListIsDiscarded() throws Exception {
        assertEquals(List.of("a"), listedAfter(list(2, 7, "a")));
        assertEquals(List.of("a"), listedAfter(list(2, 6, "b")));
        assertEquals(List.of("a"), listedAfter(list(2, 7, "b")));
        assertEquals(
                List.of("a"), listedAfter(list(1, 99, "b")), "a higher revision under a lower fencing token is older");
        assertEquals(new EndpointListVersion(2, 7), fixture.metadata.listVersion());
        assertEquals(
                List.of("b"), listedAfter(list(3, 1, "b")), "a lower revision under a higher fencing token is newer");
        assertEquals(List.of(), listedAfter(list(3, 2)));
        assertEquals(List.of(), listedAfter(list(3, 1, "b")));
    }

    @Test
    void anEmptyEndpointListCompletesTheMetadata() throws Exception {
        assertFalse(fixture.metadata.isComplete());
        OnLoop.run(
                fixture.loop,
                () -> fixture.metadata.updateConfiguration(TestConfiguration.of(1, 100, safeRoute("r", 1))));
        assertFalse(fixture.metadata.isComplete());
        listedAfter(list(1, 1));
        assertTrue(fixture.metadata.isComplete());
    }

    @Test
    void aServerKeepsItsStateAcrossEndpointLists() throws Exception {
        listedAfter(list(1, 1, "a", "b"));
        TrackedServer server =
                OnLoop.get(fixture.loop, () -> fixture.metadata.servers(PLAIN).get(0));
        listedAfter(list(1, 2, "c", "a"));
        assertTrue(
                OnLoop.get(fixture.loop, () -> fixture.metadata.servers(PLAIN).contains(server)));
        assertTrue(server.isReady());
        listedAfter(list(1, 3, "c"));
        assertFalse(server.isReady());
        listedAfter(list(1, 4, "a"));
        assertNotSame(
                server,
                OnLoop.get(fixture.loop, () -> fixture.metadata.servers(PLAIN).get(0)));
    }

    // ---- draining and removed servers ----------------------------------------------------------------

    @Test
    void idleConnectionsToADrainingServerAreClosed() throws Exception {
        fixture.routes(unsafeRoute("once", 1));
        ScriptedServer server = fixture.servers.plain();
        TestPeer client = fixture.sendRequest("/once/");
        Call call = fixture.nextCall();
        serve(call, "");
        client.read();
        assertFalse(call.peer().isClosedByPeer());
        fixture.servers.drain(server);
        call.peer().awaitClose();
        assertEquals(503, fixture.sendRequest("/once/").read().status());
        assertEquals(0, fixture.servers.calls.size());
    }

    @Test
    void aRequestInFlightAtADrainingServerIsServedAndItsConnectionClosed() throws Exception {
        fixture.routes(unsafeRoute("once", 1));
        ScriptedServer server = fixture.servers.plain();
        TestPeer drained = fixture.sendRequest("/once/");
        Call atDrain = fixture.nextCall();
        fixture.servers.drain(server);
        assertServed(atDrain, drained, "drained");
        atDrain.peer().awaitClose();
    }

    @Test
    void aRequestInFlightAtARemovedServerIsServedAndItsConnectionClosed() throws Exception {
        fixture.routes(unsafeRoute("once", 1));
        ScriptedServer server = fixture.servers.plain();
        TestPeer client = fixture.sendRequest("/once/");
        Call call = fixture.nextCall();
        fixture.servers.remove(server);
        assertServed(call, client, "gone");
        call.peer().awaitClose();
        assertEquals(503, fixture.sendRequest("/once/").read().status());
    }

    @Test
    void aStreamInFlightAtADrainingServerContinues() throws Exception {
        fixture.routes(streamingRoute("gen", 1));
        ScriptedServer server = fixture.servers.decode();
        StartedStream stream = StartedStream.start(fixture, "/gen/", PROMPT);
        fixture.servers.drain(server);
        stream.assertRelays(2);
        fixture.servers.remove(server);
        stream.assertRelays(3);
        stream.assertEnds();
        stream.server().awaitClose();
    }

    /** A server that was removed resets a request: the retry is sent to a server of the new endpoint list. */
    @Test
    void aRetryUsesTheNewEndpointList() throws Exception {
        fixture.routes(safeRoute("safe", 3));
        ScriptedServer old = fixture.servers.plain();
        TestPeer client = fixture.sendRequest("/safe/");
        Call call = fixture.nextCall();
        ScriptedServer next = fixture.servers.plain();
        fixture.servers.remove(old);
        call.peer().reset();
        Call retry = fixture.nextCall();
        assertSame(next, retry.server());
        assertServed(retry, client, "served");
        fixture.assertNoOpenRequests();
    }

    // ---- configuration changes -----------------------------------------------------------------------

    @Test
    void aRequestInFlightKeepsItsConfigurationAndTheNextRequestUsesTheNewOne() throws Exception {
        fixture.routes(unsafeRoute("r", 1), unsafeRoute("gone", 1));
        ScriptedServer old = fixture.servers.plain();
        ScriptedServer other = fixture.servers.server("other", null);
        TestPeer client = fixture.sendRequest("/r/");
        Call before = fixture.nextCall();
        TestPeer clientOfRemoved = fixture.sendRequest("/gone/");
        Call removed = fixture.nextCall();
        assertSame(old, before.server());
        client.send(request("/r/ahead", "", ""));
        fixture.routes(unsafeRoute("r", 1).toService(OTHER), unsafeRoute("new", 1));
        assertServed(before, client, "by the old service");
        Call after = fixture.nextCall();
        assertSame(
                other, after.server(), "a pipelined request is routed when it is processed, by the new configuration");
        assertServed(after, client, "by the new service");
        assertServed(removed, clientOfRemoved, "by the removed route");
        clientOfRemoved.send(request("/gone/", "", ""));
        assertEquals(404, clientOfRemoved.read().status());
        clientOfRemoved.send(request("/new/", "", ""));
        assertServed(fixture.nextCall(), clientOfRemoved, "added");
        fixture.assertNoOpenRequests();
    }

    @Test
    void aStreamIsResumedUnderTheConfigurationItStartedWith() throws Exception {
        fixture.routes(streamingRoute("gen", 2).asResumable());
        fixture.servers.decodeServers(2);
        StartedStream stream = StartedStream.start(fixture, "/gen/", PROMPT);
        fixture.routes(streamingRoute("gen", 1));
        stream.server().reset();
        assertResumed(fixture.nextCall(), stream.client(), 2);
    }
}
