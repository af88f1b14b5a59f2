package dewplank.dataplane;

import static dewplank.dataplane.ForwarderFixture.MODEL;
import static dewplank.dataplane.ForwarderFixture.PLAIN;
import static dewplank.dataplane.ForwarderFixture.PROMPT;
import static dewplank.dataplane.ForwarderFixture.beginStream;
import static dewplank.dataplane.ForwarderFixture.event;
import static dewplank.dataplane.ForwarderFixture.request;
import static dewplank.dataplane.ForwarderFixture.route;
import static dewplank.dataplane.ForwarderFixture.serve;
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

/** What is known of the fleet, and the changes that come while requests are open. */
class FleetMetadataTest {
    private ForwarderFixture net;

    @BeforeEach
    void begin() throws Exception {
        net = new ForwarderFixture();
    }

    @AfterEach
    void end() throws IOException {
        net.close();
    }

    // ---- never backwards ------------------------------------------------------------------------------

    @Test
    void anOlderOrEqualConfigurationChangesNothing() throws Exception {
        FleetMetadata view = net.view;
        OnLoop.run(net.loop, () -> {
            view.updateConfiguration(ForwarderFixture.parse(5, 100, route("new", "safe", PLAIN, 1)));
            view.updateConfiguration(ForwarderFixture.parse(4, 100, route("old", "safe", PLAIN, 1)));
            view.updateConfiguration(ForwarderFixture.parse(5, 100, route("twin", "safe", PLAIN, 1)));
        });
        assertEquals(5, view.configurationVersion());
        assertEquals("new", view.routes().find(ForwarderFixture.HOST, "/new/").name());
        net.plain();
        assertEquals(404, net.ask("/old/").read().status());
        assertEquals(404, net.ask("/twin/").read().status());
        OnLoop.run(
                net.loop,
                () -> view.updateConfiguration(ForwarderFixture.parse(9, 100, route("newer", "safe", PLAIN, 1))));
        assertEquals(404, net.ask("/new/").read().status());
    }

    private static EndpointList list(long number, long revision, String... instances) {
        List<Endpoint> entries = Arrays.stream(instances)
                .map(i -> new Endpoint(i, PLAIN, "127.0.0.1:9", ForwarderFixture.ZONE, 4, false, 0, null))
                .toList();
        return new EndpointList(new EndpointListVersion(number, revision), entries);
    }

    private List<String> listed(EndpointList list) throws Exception {
        return OnLoop.get(net.loop, () -> {
            net.view.updateServers(list);
            return net.view.servers(PLAIN).stream()
                    .map(TrackedServer::instanceId)
                    .toList();
        });
    }

    @Test
    void anOlderOrEqualListChangesNothing() throws Exception {
        assertEquals(List.of("a"), listed(list(2, 7, "a")));
        assertEquals(List.of("a"), listed(list(2, 6, "b")));
        assertEquals(List.of("a"), listed(list(2, 7, "b")));
        assertEquals(List.of("a"), listed(list(1, 99, "b")), "a higher count under a lower fencing number is older");
        assertEquals(new EndpointListVersion(2, 7), net.view.listVersion());
        assertEquals(List.of("b"), listed(list(3, 1, "b")), "a lower count under a higher fencing number is newer");
        assertEquals(List.of(), listed(list(3, 2)));
        assertEquals(List.of(), listed(list(3, 1, "b")));
    }

    @Test
    void aListOfNoServersIsAList() throws Exception {
        assertFalse(net.view.isComplete());
        OnLoop.run(
                net.loop,
                () -> net.view.updateConfiguration(ForwarderFixture.parse(1, 100, route("r", "safe", PLAIN, 1))));
        assertFalse(net.view.isComplete());
        listed(list(1, 1));
        assertTrue(net.view.isComplete());
    }

    @Test
    void aServerKeepsItsStateFromListToList() throws Exception {
        listed(list(1, 1, "a", "b"));
        TrackedServer a = OnLoop.get(net.loop, () -> net.view.servers(PLAIN).get(0));
        listed(list(1, 2, "c", "a"));
        assertTrue(OnLoop.get(net.loop, () -> net.view.servers(PLAIN).contains(a)));
        assertTrue(a.isReady());
        listed(list(1, 3, "c"));
        assertFalse(a.isReady());
        listed(list(1, 4, "a"));
        assertNotSame(a, OnLoop.get(net.loop, () -> net.view.servers(PLAIN).get(0)));
    }

    // ---- servers that leave ---------------------------------------------------------------------------

    @Test
    void idleConnectionsToADrainingServerEnd() throws Exception {
        net.routes(route("once", "unsafe", PLAIN, 1));
        ScriptedServer server = net.plain();
        Wire client = net.ask("/once/");
        Call call = net.next();
        serve(call, "");
        client.read();
        assertFalse(call.wire().isEnded());
        net.drain(server);
        call.wire().awaitEnd();
        assertEquals(503, net.ask("/once/").read().status());
        assertEquals(0, net.calls.size());
    }

    @Test
    void aRequestAtADrainingServerIsServedAndItsConnectionEnds() throws Exception {
        net.routes(route("once", "unsafe", PLAIN, 1));
        ScriptedServer server = net.plain();
        Wire drained = net.ask("/once/");
        Call atDrain = net.next();
        net.drain(server);
        serve(atDrain, "drained");
        assertEquals("drained", drained.read().body());
        atDrain.wire().awaitEnd();
    }

    @Test
    void aRequestAtAServerThatHasLeftTheListIsServedAndItsConnectionEnds() throws Exception {
        net.routes(route("once", "unsafe", PLAIN, 1));
        ScriptedServer server = net.plain();
        Wire client = net.ask("/once/");
        Call call = net.next();
        net.remove(server);
        serve(call, "gone");
        assertEquals("gone", client.read().body());
        call.wire().awaitEnd();
        assertEquals(503, net.ask("/once/").read().status());
    }

    @Test
    void aStreamAtADrainingServerGoesOn() throws Exception {
        net.routes(route("gen", "streaming", MODEL, 1));
        ScriptedServer server = net.decode();
        Wire client = net.ask("/gen/", PROMPT);
        Call run = net.next();
        beginStream(run);
        run.wire().chunk(event(1));
        client.readHead();
        assertEquals(event(1), client.readChunk());
        net.drain(server);
        run.wire().chunk(event(2));
        assertEquals(event(2), client.readChunk());
        net.remove(server);
        run.wire().chunk(event(3));
        run.wire().lastChunk();
        assertEquals(event(3), client.readChunk());
        assertEquals("", client.readChunk());
        run.wire().awaitEnd();
    }

    /** A server that breaks off after it has left the list: its request is repeated at one that is on it. */
    @Test
    void aRepeatGoesToTheServersOfTheNewList() throws Exception {
        net.routes(route("safe", "safe", PLAIN, 3));
        ScriptedServer old = net.plain();
        Wire client = net.ask("/safe/");
        Call call = net.next();
        ScriptedServer next = net.plain();
        net.remove(old);
        call.wire().reset();
        Call again = net.next();
        assertSame(next, again.server());
        serve(again, "served");
        assertEquals("served", client.read().body());
        net.assertQuiet();
    }

    // ---- changes of configuration ---------------------------------------------------------------------

    @Test
    void anOpenRequestEndsByTheOldConfigurationAndTheNextGoesByTheNewOne() throws Exception {
        net.routes(route("r", "unsafe", PLAIN, 1), route("gone", "unsafe", PLAIN, 1));
        ScriptedServer old = net.plain();
        ScriptedServer other = net.server("other", null);
        Wire client = net.ask("/r/");
        Call before = net.next();
        Wire leaving = net.ask("/gone/");
        Call removed = net.next();
        assertSame(old, before.server());
        client.send(request("/r/ahead", "", ""));
        net.routes(route("r", "unsafe", "other", 1), route("new", "unsafe", PLAIN, 1));
        serve(before, "by the old");
        assertEquals("by the old", client.read().body());
        Call after = net.next();
        assertSame(other, after.server(), "sent ahead, and looked at once the new one is in force");
        serve(after, "by the new");
        assertEquals("by the new", client.read().body());
        serve(removed, "still");
        assertEquals("still", leaving.read().body());
        leaving.send(request("/gone/", "", ""));
        assertEquals(404, leaving.read().status());
        leaving.send(request("/new/", "", ""));
        serve(net.next(), "added");
        assertEquals("added", leaving.read().body());
        net.assertQuiet();
    }

    @Test
    void aStreamIsContinuedAsItsConfigurationAllowed() throws Exception {
        net.routes(ForwarderFixture.resumable(route("gen", "streaming", MODEL, 2)));
        net.decode();
        net.decode();
        Wire client = net.ask("/gen/", PROMPT);
        Call run = net.next();
        beginStream(run);
        run.wire().chunk(event(1));
        client.readHead();
        assertEquals(event(1), client.readChunk());
        net.routes(route("gen", "streaming", MODEL, 1));
        run.wire().reset();
        Call next = net.next();
        beginStream(next);
        next.wire().chunk(event(2));
        next.wire().lastChunk();
        assertEquals(event(2), client.readChunk());
        assertEquals("", client.readChunk());
    }
}
