package dewplank.dataplane;

import static dewplank.dataplane.CallFields.kvFrom;
import static dewplank.dataplane.CallFields.lastEventId;
import static dewplank.dataplane.ClientRequests.HOST;
import static dewplank.dataplane.ClientRequests.MEDIUM_PROMPT;
import static dewplank.dataplane.ClientRequests.PROMPT;
import static dewplank.dataplane.ClientRequests.SHORT_PROMPT;
import static dewplank.dataplane.ClientRequests.request;
import static dewplank.dataplane.Expectations.assertResumed;
import static dewplank.dataplane.Expectations.assertStreamed;
import static dewplank.dataplane.ServerResponses.NOT_EXECUTED;
import static dewplank.dataplane.ServerResponses.SEAL;
import static dewplank.dataplane.ServerResponses.beginStream;
import static dewplank.dataplane.ServerResponses.event;
import static dewplank.dataplane.ServerResponses.idOf;
import static dewplank.dataplane.ServerResponses.respond;
import static dewplank.dataplane.ServerResponses.respondWithKvHandle;
import static dewplank.dataplane.ServerResponses.sealedHead;
import static dewplank.dataplane.TestConfiguration.MODEL;
import static dewplank.dataplane.TestRoute.streamingRoute;
import static dewplank.dataplane.TestRoute.unsafeRoute;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotSame;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertSame;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dewplank.exchange.OnLoop;
import dewplank.exchange.ScriptedServer;
import dewplank.exchange.ScriptedServer.Call;
import dewplank.exchange.TestPeer;
import java.io.IOException;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/**
 * Races between two events in a stream or a KV transfer, in either order: no event of a stream is duplicated or
 * missing, an incomplete stream never appears complete, and a KV handle is sent to only one decode of its own request.
 */
class StreamRaceTest {
    private static final double REUSABLE_AFTER_MS = ForwarderFixture.REUSABLE_AFTER_MS;
    private static final double PAST_STALL_TIMEOUT_MS = 800; // a started resumable stream stalls after 700 ms
    private static final double PAST_PREFILL_OVERDUE_MS = 400; // a short prompt is overdue after 300 ms
    private static final int LONG_BODY_BYTES = 16 << 20; // more than the socket buffers hold

    private ForwarderFixture fixture;

    @BeforeEach
    void setUp() throws Exception {
        fixture = fixtureBuilder().start();
    }

    private static ForwarderFixture.Builder fixtureBuilder() {
        return ForwarderFixture.builder()
                .maxBodyBytes(4 * LONG_BODY_BYTES)
                .routes(streamingRoute("gen", 2), streamingRoute("res", 2).asResumable(), unsafeRoute("plain", 1));
    }

    /** For tests that do not test stalls, because a pause of 700 ms between two steps would count as a stall. */
    private void disableHedging() throws Exception {
        fixture.close();
        fixture = fixtureBuilder().withoutHedging().start();
    }

    @AfterEach
    void tearDown() throws IOException {
        fixture.close();
    }

    private StartedStream begin(String target) throws Exception {
        return StartedStream.start(fixture, target, PROMPT);
    }

    /** The connection ends after exactly these bytes. */
    private static void assertAbortedAfter(TestPeer client, String expected) throws IOException {
        String received = client.readToEnd();
        assertEquals(expected, received);
    }

    // ---- the end of a stream --------------------------------------------------------------------------

    /** The end was sent before the reset. Whichever of them is handled, no event is missing or duplicated. */
    @Test
    void aStreamWhoseEndRacesWithAResetIsCompletedOrResumed() throws Exception {
        disableHedging();
        fixture.servers.decodeServers(2);
        StartedStream stream = begin("/res/");
        OnLoop.run(fixture.loop, () -> {
            stream.server().chunk(event(2));
            stream.server().lastChunk();
            stream.server().reset();
        });
        OnLoop.await(fixture.loop, () -> !fixture.servers.calls.isEmpty() || fixture.forwarder.openRequests() == 0);
        Call next = fixture.servers.calls.poll();
        if (next == null) {
            assertEquals(event(2), stream.client().readChunk());
            assertEquals("", stream.client().readChunk());
        } else {
            boolean second = "2".equals(lastEventId(next));
            beginStream(next);
            if (second) {
                assertEquals(event(2), stream.client().readChunk());
            } else {
                assertEquals("1", lastEventId(next));
                next.peer().chunk(event(2));
                assertEquals(event(2), stream.client().readChunk());
            }
            next.peer().lastChunk();
            assertEquals("", stream.client().readChunk());
        }
        fixture.assertNoOpenRequests();
    }

    @TestOnResumableAndNonResumableRoutes
    void aResetAfterACompleteStreamHasNoEffect(String target) throws Exception {
        disableHedging();
        fixture.servers.decodeServers(2);
        StartedStream stream = begin(target);
        stream.assertEnds();
        stream.server().reset();
        fixture.assertNoOpenRequests();
    }

    /** The end of its connection completes a stream without a length, except within an event. */
    @TestOnResumableAndNonResumableRoutes
    void aCloseWithinAnEventTruncatesTheStream(String target) throws Exception {
        disableHedging();
        fixture.servers.decodeServers(2);
        TestPeer client = fixture.sendRequest(target, PROMPT);
        Call decodeCall = fixture.nextCall();
        decodeCall.peer().send(sealedHead(decodeCall, "") + event(1) + "id: 2\ndata: half");
        assertEquals(200, client.readHead().status());
        assertEquals(event(1), client.readChunk());
        decodeCall.peer().close();
        if (target.equals("/res/")) {
            Call next = fixture.nextCall();
            assertEquals("1", lastEventId(next));
            assertResumed(next, client, 2);
        } else {
            assertAbortedAfter(client, "");
        }
        fixture.assertNoOpenRequests();
    }

    @TestOnResumableAndNonResumableRoutes
    void aCloseBeforeTheFirstEventTruncatesTheStream(String target) throws Exception {
        fixture.servers.decodeServers(2);
        TestPeer client = fixture.sendRequest(target, PROMPT);
        Call decodeCall = fixture.nextCall();
        decodeCall.peer().send(sealedHead(decodeCall, ""));
        decodeCall.peer().close();
        if (target.equals("/res/")) {
            Call next = fixture.nextCall();
            assertNull(lastEventId(next));
            assertStreamed(next, client, 1);
        } else {
            assertEquals(502, client.read().status());
        }
        fixture.assertNoOpenRequests();
    }

    /** Without an event id the position to resume from is unknown, and relayed events would be duplicated. */
    @Test
    void aStreamIsNotResumedAfterAnEventWithoutAnId() throws Exception {
        fixture.servers.decodeServers(2);
        TestPeer client = fixture.sendRequest("/res/", PROMPT);
        Call decodeCall = fixture.nextCall();
        beginStream(decodeCall);
        decodeCall.peer().chunk(event(1) + "data: nameless\n\n");
        assertEquals(200, client.readHead().status());
        assertEquals(event(1) + "data: nameless\n\n", client.readChunk());
        decodeCall.peer().reset();
        assertAbortedAfter(client, "");
        fixture.assertNoOpenRequests();
    }

    @TestOnResumableAndNonResumableRoutes
    void aSecondResponseAfterAStreamIsDiscarded(String target) throws Exception {
        fixture.servers.decode();
        StartedStream stream = begin(target);
        stream.server()
                .send("0\r\n\r\nHTTP/1.1 200 OK\r\n" + idOf(stream.decode()) + SEAL + "Content-Length: 2\r\n\r\nho");
        assertEquals("", stream.client().readChunk());
        stream.server().awaitClose();
        fixture.assertNoOpenRequests();
    }

    /**
     * The request is retried at another server. Relaying a part of the first stream would mix two runs in one response.
     */
    @TestOnResumableAndNonResumableRoutes
    void aResponseMarkedNotExecutedIsNotRelayed(String target) throws Exception {
        fixture.servers.decodeServers(2);
        TestPeer client = fixture.sendRequest(target, PROMPT);
        Call first = fixture.nextCall();
        respond(first, "200 OK", SEAL + NOT_EXECUTED, "id: 7\ndata: not run\n\n");
        Call second = fixture.nextCall();
        assertNotSame(first.server(), second.server());
        assertNull(lastEventId(second));
        assertStreamed(second, client, 1);
        fixture.assertNoOpenRequests();
    }

    /** The response to a HEAD request ends with its head and needs neither a length nor events. */
    @Test
    void theResponseToAHeadRequestIsNotATruncatedStream() throws Exception {
        fixture.servers.decode();
        TestPeer client = fixture.client();
        client.send("HEAD /gen/ HTTP/1.1\r\nHost: " + HOST + "\r\nX-Dewplank-Request-Attempt-Id: h1\r\n\r\n"
                + request("/gen/", PROMPT, ""));
        Call head = fixture.nextCall();
        head.peer().send(sealedHead(head, ""));
        assertEquals("h1", client.readHead().header("X-Dewplank-Request-Attempt-Id"));
        Call next = fixture.nextCall();
        assertStreamed(next, client, 1);
        fixture.assertNoOpenRequests();
    }

    /** The rest of a disconnected client's stream and the next stream do not share a connection. */
    @TestOnResumableAndNonResumableRoutes
    void theRestOfADisconnectedClientsStreamIsDiscarded(String target) throws Exception {
        fixture.servers.decode();
        StartedStream disconnected = begin(target);
        disconnected.client().close();
        disconnected.server().awaitClose();
        StartedStream next = begin(target);
        assertNotSame(disconnected.server(), next.server());
        next.assertEnds();
        fixture.assertNoOpenRequests();
    }

    @TestOnResumableAndNonResumableRoutes
    void aLateStreamOnAReusedConnectionIsDiscarded(String target) throws Exception {
        fixture.servers.decode();
        StartedStream first = begin(target);
        first.assertEnds();
        fixture.waitOnLoop(REUSABLE_AFTER_MS);
        first.client().send(request(target, PROMPT, ""));
        Call second = fixture.nextCall();
        assertSame(first.server(), second.peer());
        beginStream(first.decode());
        second.peer().chunk("id: 9\ndata: to the first request\n\n");
        second.peer().lastChunk();
        respond(first.decode(), "503 Service Unavailable", NOT_EXECUTED, "");
        second.peer().respond("200 OK", SEAL, "id: 9\ndata: without an id\n\n");
        assertStreamed(second, first.client(), 1);
        fixture.assertNoOpenRequests();
    }

    // ---- stalls ---------------------------------------------------------------------------------------

    /** The stream is resumed at another server while the first one could still send; no event is duplicated. */
    @Test
    void eventsOfAStalledServerAreDiscardedAfterResumption() throws Exception {
        fixture.servers.decodeServers(2);
        StartedStream stream = StartedStream.start(fixture, "/res/", PROMPT);
        Call next = fixture.nextCall();
        stream.server().awaitClose();
        assertEquals("1", lastEventId(next));
        assertResumed(next, stream.client(), 2);
        fixture.assertNoOpenRequests();
    }

    /** The event arrives when the stall timeout expires: event 2 is relayed once, from one of the servers. */
    @Test
    void anEventThatRacesWithTheStallTimeoutIsRelayedOnce() throws Exception {
        fixture.servers.decodeServers(2);
        StartedStream stream = StartedStream.start(fixture, "/res/", PROMPT);
        fixture.runThenBlockLoop(PAST_STALL_TIMEOUT_MS, () -> {
            try {
                stream.server().chunk(event(2));
            } catch (IOException e) {
                // on a slow machine the stall timeout has expired earlier
            }
        });
        OnLoop.await(
                fixture.loop,
                () -> !fixture.servers.calls.isEmpty() || stream.client().hasBytes());
        Call next = fixture.servers.calls.poll();
        if (next == null) {
            assertEquals(event(2), stream.client().readChunk());
            stream.assertEnds();
        } else {
            String last = lastEventId(next);
            if (last.equals("2")) {
                assertEquals(event(2), stream.client().readChunk());
            }
            assertResumed(next, stream.client(), last.equals("2") ? 3 : 2);
        }
        fixture.assertNoOpenRequests();
    }

    // ---- KV transfer ---------------------------------------------------------------------------------

    private static boolean isKvHandleFreed(Call call) {
        return call.message().method().equals("DELETE");
    }

    /** The KV handle arrives when the prefill becomes overdue: there is one decode, with or without the handle. */
    @TestOnResumableAndNonResumableRoutes
    void aKvHandleThatRacesWithTheOverdueTimerLeadsToOneDecode(String target) throws Exception {
        ScriptedServer prefill = fixture.servers.prefill();
        fixture.servers.decode();
        TestPeer client = fixture.sendRequest(target, SHORT_PROMPT);
        Call prefillCall = fixture.nextCall();
        for (int sends = 1; prefillCall.server() != prefill; sends++) { // the connection was not established in time
            assertTrue(sends < ForwarderFixture.MAX_SENDS, "no request was prefilled");
            assertStreamed(prefillCall, client, 1);
            client = fixture.sendRequest(target, SHORT_PROMPT);
            prefillCall = fixture.nextCall();
        }
        Call reached = prefillCall;
        fixture.runThenBlockLoop(PAST_PREFILL_OVERDUE_MS, () -> respondWithKvHandle(reached, "h1"));
        Call decodeCall = fixture.nextCall();
        String from = kvFrom(decodeCall);
        assertTrue(from == null || from.equals(prefill.addressText() + "/h1"), from);
        assertStreamed(decodeCall, client, 1);
        fixture.assertNoOpenRequests();
    }

    @TestOnResumableAndNonResumableRoutes
    void twoResponsesToOnePrefillLeadToOneDecode(String target) throws Exception {
        ScriptedServer prefill = fixture.servers.prefill();
        fixture.servers.decode();
        TestPeer client = fixture.sendRequest(target, PROMPT);
        Call prefillCall = fixture.nextCall();
        respondWithKvHandle(prefillCall, "h1");
        Call decodeCall = fixture.nextCall();
        assertEquals(prefill.addressText() + "/h1", kvFrom(decodeCall));
        respondWithKvHandle(prefillCall, "h2");
        prefillCall.peer().awaitClose();
        assertStreamed(decodeCall, client, 1);
        fixture.assertNoOpenRequests();
    }

    /** A late response to an earlier prefill arrives on the connection of the next one, before its response. */
    @Test
    void anEarlierRequestsKvHandleOnAReusedConnectionIsDiscarded() throws Exception {
        ScriptedServer prefill = fixture.servers.prefill();
        fixture.servers.decode();
        Call earlier = null;
        for (String handle : new String[] {"h1", "h2"}) {
            TestPeer client = fixture.sendRequest("/gen/", PROMPT);
            Call prefillCall = fixture.nextCall();
            if (earlier != null) {
                assertSame(earlier.peer(), prefillCall.peer());
                respondWithKvHandle(earlier, "late");
                prefillCall.peer().respond("200 OK", "", "{\"context_handle\":\"unidentified\",\"token_count\":60}");
            }
            respondWithKvHandle(prefillCall, handle);
            Call decodeCall = fixture.nextCall();
            assertEquals(prefill.addressText() + "/" + handle, kvFrom(decodeCall));
            assertStreamed(decodeCall, client, 1);
            earlier = prefillCall;
            fixture.waitOnLoop(REUSABLE_AFTER_MS);
        }
        fixture.assertNoOpenRequests();
    }

    /** The stalled decode server may have fetched the KV cache, so the handle is freed once and not sent again. */
    @Test
    void theKvHandleOfAStalledDecodeIsFreedOnceAndNotSentAgain() throws Exception {
        ScriptedServer prefill = fixture.servers.prefill();
        fixture.servers.decodeServers(2);
        TestPeer client = fixture.sendRequest("/res/", MEDIUM_PROMPT);
        respondWithKvHandle(fixture.nextCall(), "h1");
        Call stalled = fixture.nextCall();
        assertEquals(prefill.addressText() + "/h1", kvFrom(stalled));
        int frees = 0;
        Call decodeCall = fixture.nextCall();
        for (; isKvHandleFreed(decodeCall); decodeCall = fixture.nextCall()) {
            assertEquals("/kv-handle/h1", decodeCall.message().target());
            decodeCall.peer().respond("200 OK", "", "");
            frees++;
        }
        assertNull(kvFrom(decodeCall));
        assertStreamed(decodeCall, client, 1);
        stalled.peer().awaitClose();
        fixture.awaitNoOpenRequest();
        Call late =
                frees == 0 ? fixture.nextCall() : null; // the request to free the handle may arrive after the decode
        assertTrue(late == null || isKvHandleFreed(late));
        fixture.assertNoOpenRequests();
    }

    /** A part of the request was sent, so the decode server may have fetched the KV cache. */
    @Test
    void theKvHandleOfADecodeThatIsResetWithinItsRequestIsNotSentAgain() throws Exception {
        ScriptedServer prefill = fixture.servers.prefill();
        try (ScriptedServer raw = ScriptedServer.withoutReading()) {
            fixture.servers.add(raw, MODEL, "decode");
            TestPeer client = fixture.client();
            client.send(request("/gen/", PROMPT, "x".repeat(LONG_BODY_BYTES)));
            respondWithKvHandle(fixture.nextCall(), "h1");
            TestPeer peer = raw.nextConnection();
            assertEquals(prefill.addressText() + "/h1", peer.readHead().header("Kv-From"));
            peer.reset();
            assertEquals(502, client.read().status());
            Call free = fixture.nextCall();
            assertTrue(isKvHandleFreed(free));
            assertEquals("/kv-handle/h1", free.message().target());
            assertEquals(0, raw.pendingConnections(), "the request was sent again");
            fixture.assertNoOpenRequests();
        }
    }

    /** The response to a request that frees a handle has no attempt id, so its connection carries no other request. */
    @Test
    void theResponseToAFreedKvHandleIsNotRelayedToAnotherRequest() throws Exception {
        fixture.servers.prefill();
        TestPeer client = fixture.sendRequest("/gen/", PROMPT); // there is no decode server
        Call prefillCall = fixture.nextCall();
        respondWithKvHandle(prefillCall, "h1");
        Call free = fixture.nextCall();
        assertTrue(isKvHandleFreed(free));
        assertNotSame(prefillCall.peer(), free.peer());
        assertEquals(503, client.read().status());
        free.peer().respond("404 Not Found", "", "gone");
        free.peer().awaitClose();
        fixture.waitOnLoop(REUSABLE_AFTER_MS);
        TestPeer next = fixture.sendRequest("/gen/", PROMPT);
        Call nextPrefill = fixture.nextCall();
        assertNotSame(free.peer(), nextPrefill.peer());
        respondWithKvHandle(nextPrefill, "h2");
        assertTrue(isKvHandleFreed(fixture.nextCall()));
        assertEquals(503, next.read().status());
        assertFalse(next.hasBytes());
        fixture.assertNoOpenRequests();
    }
}
