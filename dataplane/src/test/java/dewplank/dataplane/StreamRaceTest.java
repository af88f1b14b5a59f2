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
import static dewplank.dataplane.ServerAnswers.NOT_EXECUTED;
import static dewplank.dataplane.ServerAnswers.SEAL;
import static dewplank.dataplane.ServerAnswers.answer;
import static dewplank.dataplane.ServerAnswers.beginStream;
import static dewplank.dataplane.ServerAnswers.event;
import static dewplank.dataplane.ServerAnswers.handOver;
import static dewplank.dataplane.ServerAnswers.idOf;
import static dewplank.dataplane.ServerAnswers.sealedHead;
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
import dewplank.exchange.Wire;
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

    private BegunStream begin(String target) throws Exception {
        return BegunStream.begin(fixture, target, PROMPT);
    }

    /** The connection ends after exactly these bytes. */
    private static void assertAbortedAfter(Wire client, String expected) throws IOException {
        String received = client.readToEnd();
        assertEquals(expected, received);
    }

    // ---- the end of a stream --------------------------------------------------------------------------

    /** The end was sent before the reset. Whichever of them is handled, no event is missing or duplicated. */
    @Test
    void aStreamWhoseEndRacesWithAResetIsCompletedOrResumed() throws Exception {
        disableHedging();
        fixture.servers.decodeServers(2);
        BegunStream stream = begin("/res/");
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
                next.wire().chunk(event(2));
                assertEquals(event(2), stream.client().readChunk());
            }
            next.wire().lastChunk();
            assertEquals("", stream.client().readChunk());
        }
        fixture.assertQuiet();
    }

    @TestOnResumableAndNonResumableRoutes
    void aResetAfterACompleteStreamHasNoEffect(String target) throws Exception {
        disableHedging();
        fixture.servers.decodeServers(2);
        BegunStream stream = begin(target);
        stream.assertEnds();
        stream.server().reset();
        fixture.assertQuiet();
    }

    /** The end of its connection completes a stream without a length, except within an event. */
    @TestOnResumableAndNonResumableRoutes
    void aCloseWithinAnEventTruncatesTheStream(String target) throws Exception {
        disableHedging();
        fixture.servers.decodeServers(2);
        Wire client = fixture.sendRequest(target, PROMPT);
        Call decodeCall = fixture.nextCall();
        decodeCall.wire().send(sealedHead(decodeCall, "") + event(1) + "id: 2\ndata: half");
        assertEquals(200, client.readHead().status());
        assertEquals(event(1), client.readChunk());
        decodeCall.wire().close();
        if (target.equals("/res/")) {
            Call next = fixture.nextCall();
            assertEquals("1", lastEventId(next));
            assertResumed(next, client, 2);
        } else {
            assertAbortedAfter(client, "");
        }
        fixture.assertQuiet();
    }

    @TestOnResumableAndNonResumableRoutes
    void aCloseBeforeTheFirstEventTruncatesTheStream(String target) throws Exception {
        fixture.servers.decodeServers(2);
        Wire client = fixture.sendRequest(target, PROMPT);
        Call decodeCall = fixture.nextCall();
        decodeCall.wire().send(sealedHead(decodeCall, ""));
        decodeCall.wire().close();
        if (target.equals("/res/")) {
            Call next = fixture.nextCall();
            assertNull(lastEventId(next));
            assertStreamed(next, client, 1);
        } else {
            assertEquals(502, client.read().status());
        }
        fixture.assertQuiet();
    }

    /** Without an event id the position to resume from is unknown, and relayed events would be duplicated. */
    @Test
    void aStreamIsNotResumedAfterAnEventWithoutAnId() throws Exception {
        fixture.servers.decodeServers(2);
        Wire client = fixture.sendRequest("/res/", PROMPT);
        Call decodeCall = fixture.nextCall();
        beginStream(decodeCall);
        decodeCall.wire().chunk(event(1) + "data: nameless\n\n");
        assertEquals(200, client.readHead().status());
        assertEquals(event(1) + "data: nameless\n\n", client.readChunk());
        decodeCall.wire().reset();
        assertAbortedAfter(client, "");
        fixture.assertQuiet();
    }

    @TestOnResumableAndNonResumableRoutes
    void aSecondResponseAfterAStreamIsDiscarded(String target) throws Exception {
        fixture.servers.decode();
        BegunStream stream = begin(target);
        stream.server()
                .send("0\r\n\r\nHTTP/1.1 200 OK\r\n" + idOf(stream.decode()) + SEAL + "Content-Length: 2\r\n\r\nho");
        assertEquals("", stream.client().readChunk());
        stream.server().awaitEnd();
        fixture.assertQuiet();
    }

    /**
     * The request is retried at another server. Relaying a part of the first stream would mix two runs in one response.
     */
    @TestOnResumableAndNonResumableRoutes
    void aResponseMarkedNotExecutedIsNotRelayed(String target) throws Exception {
        fixture.servers.decodeServers(2);
        Wire client = fixture.sendRequest(target, PROMPT);
        Call first = fixture.nextCall();
        answer(first, "200 OK", SEAL + NOT_EXECUTED, "id: 7\ndata: not run\n\n");
        Call second = fixture.nextCall();
        assertNotSame(first.server(), second.server());
        assertNull(lastEventId(second));
        assertStreamed(second, client, 1);
        fixture.assertQuiet();
    }

    /** The response to a HEAD request ends with its head and needs neither a length nor events. */
    @Test
    void theResponseToAHeadRequestIsNotATruncatedStream() throws Exception {
        fixture.servers.decode();
        Wire client = fixture.client();
        client.send("HEAD /gen/ HTTP/1.1\r\nHost: " + HOST + "\r\nX-Dewplank-Request-Attempt-Id: h1\r\n\r\n"
                + request("/gen/", PROMPT, ""));
        Call head = fixture.nextCall();
        head.wire().send(sealedHead(head, ""));
        assertEquals("h1", client.readHead().header("X-Dewplank-Request-Attempt-Id"));
        Call next = fixture.nextCall();
        assertStreamed(next, client, 1);
        fixture.assertQuiet();
    }

    /** The rest of a disconnected client's stream and the next stream do not share a connection. */
    @TestOnResumableAndNonResumableRoutes
    void theRestOfADisconnectedClientsStreamIsDiscarded(String target) throws Exception {
        fixture.servers.decode();
        BegunStream disconnected = begin(target);
        disconnected.client().close();
        disconnected.server().awaitEnd();
        BegunStream next = begin(target);
        assertNotSame(disconnected.server(), next.server());
        next.assertEnds();
        fixture.assertQuiet();
    }

    @TestOnResumableAndNonResumableRoutes
    void aLateStreamOnAReusedConnectionIsDiscarded(String target) throws Exception {
        fixture.servers.decode();
        BegunStream first = begin(target);
        first.assertEnds();
        fixture.pass(REUSABLE_AFTER_MS);
        first.client().send(request(target, PROMPT, ""));
        Call second = fixture.nextCall();
        assertSame(first.server(), second.wire());
        beginStream(first.decode());
        second.wire().chunk("id: 9\ndata: to the first request\n\n");
        second.wire().lastChunk();
        answer(first.decode(), "503 Service Unavailable", NOT_EXECUTED, "");
        second.wire().answer("200 OK", SEAL, "id: 9\ndata: without an id\n\n");
        assertStreamed(second, first.client(), 1);
        fixture.assertQuiet();
    }

    // ---- stalls ---------------------------------------------------------------------------------------

    /** The stream is resumed at another server while the first one could still send; no event is duplicated. */
    @Test
    void eventsOfAStalledServerAreDiscardedAfterResumption() throws Exception {
        fixture.servers.decodeServers(2);
        BegunStream stream = BegunStream.begin(fixture, "/res/", PROMPT);
        Call next = fixture.nextCall();
        stream.server().awaitEnd();
        assertEquals("1", lastEventId(next));
        assertResumed(next, stream.client(), 2);
        fixture.assertQuiet();
    }

    /** The event arrives when the stall timeout expires: event 2 is relayed once, from one of the servers. */
    @Test
    void anEventThatRacesWithTheStallTimeoutIsRelayedOnce() throws Exception {
        fixture.servers.decodeServers(2);
        BegunStream stream = BegunStream.begin(fixture, "/res/", PROMPT);
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
        fixture.assertQuiet();
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
        Wire client = fixture.sendRequest(target, SHORT_PROMPT);
        Call prefillCall = fixture.nextCall();
        for (int sends = 1; prefillCall.server() != prefill; sends++) { // the connection was not established in time
            assertTrue(sends < ForwarderFixture.MAX_SENDS, "no request was prefilled");
            assertStreamed(prefillCall, client, 1);
            client = fixture.sendRequest(target, SHORT_PROMPT);
            prefillCall = fixture.nextCall();
        }
        Call reached = prefillCall;
        fixture.runThenBlockLoop(PAST_PREFILL_OVERDUE_MS, () -> handOver(reached, "h1"));
        Call decodeCall = fixture.nextCall();
        String from = kvFrom(decodeCall);
        assertTrue(from == null || from.equals(prefill.addressText() + "/h1"), from);
        assertStreamed(decodeCall, client, 1);
        fixture.assertQuiet();
    }

    @TestOnResumableAndNonResumableRoutes
    void twoResponsesToOnePrefillLeadToOneDecode(String target) throws Exception {
        ScriptedServer prefill = fixture.servers.prefill();
        fixture.servers.decode();
        Wire client = fixture.sendRequest(target, PROMPT);
        Call prefillCall = fixture.nextCall();
        handOver(prefillCall, "h1");
        Call decodeCall = fixture.nextCall();
        assertEquals(prefill.addressText() + "/h1", kvFrom(decodeCall));
        handOver(prefillCall, "h2");
        prefillCall.wire().awaitEnd();
        assertStreamed(decodeCall, client, 1);
        fixture.assertQuiet();
    }

    /** A late response to an earlier prefill arrives on the connection of the next one, before its response. */
    @Test
    void anEarlierRequestsKvHandleOnAReusedConnectionIsDiscarded() throws Exception {
        ScriptedServer prefill = fixture.servers.prefill();
        fixture.servers.decode();
        Call earlier = null;
        for (String handle : new String[] {"h1", "h2"}) {
            Wire client = fixture.sendRequest("/gen/", PROMPT);
            Call prefillCall = fixture.nextCall();
            if (earlier != null) {
                assertSame(earlier.wire(), prefillCall.wire());
                handOver(earlier, "late");
                prefillCall.wire().answer("200 OK", "", "{\"context_handle\":\"unidentified\",\"token_count\":60}");
            }
            handOver(prefillCall, handle);
            Call decodeCall = fixture.nextCall();
            assertEquals(prefill.addressText() + "/" + handle, kvFrom(decodeCall));
            assertStreamed(decodeCall, client, 1);
            earlier = prefillCall;
            fixture.pass(REUSABLE_AFTER_MS);
        }
        fixture.assertQuiet();
    }

    /** The stalled decode server may have fetched the KV cache, so the handle is freed once and not sent again. */
    @Test
    void theKvHandleOfAStalledDecodeIsFreedOnceAndNotSentAgain() throws Exception {
        ScriptedServer prefill = fixture.servers.prefill();
        fixture.servers.decodeServers(2);
        Wire client = fixture.sendRequest("/res/", MEDIUM_PROMPT);
        handOver(fixture.nextCall(), "h1");
        Call stalled = fixture.nextCall();
        assertEquals(prefill.addressText() + "/h1", kvFrom(stalled));
        int frees = 0;
        Call decodeCall = fixture.nextCall();
        for (; isKvHandleFreed(decodeCall); decodeCall = fixture.nextCall()) {
            assertEquals("/kv-handle/h1", decodeCall.message().target());
            decodeCall.wire().answer("200 OK", "", "");
            frees++;
        }
        assertNull(kvFrom(decodeCall));
        assertStreamed(decodeCall, client, 1);
        stalled.wire().awaitEnd();
        fixture.awaitNoOpenRequest();
        Call late =
                frees == 0 ? fixture.nextCall() : null; // the request to free the handle may arrive after the decode
        assertTrue(late == null || isKvHandleFreed(late));
        fixture.assertQuiet();
    }

    /** A part of the request was sent, so the decode server may have fetched the KV cache. */
    @Test
    void theKvHandleOfADecodeThatIsResetWithinItsRequestIsNotSentAgain() throws Exception {
        ScriptedServer prefill = fixture.servers.prefill();
        try (ScriptedServer raw = ScriptedServer.raw()) {
            fixture.servers.add(raw, MODEL, "decode");
            Wire client = fixture.client();
            client.send(request("/gen/", PROMPT, "x".repeat(LONG_BODY_BYTES)));
            handOver(fixture.nextCall(), "h1");
            Wire wire = raw.nextConnection();
            assertEquals(prefill.addressText() + "/h1", wire.readHead().header("Kv-From"));
            wire.reset();
            assertEquals(502, client.read().status());
            Call free = fixture.nextCall();
            assertTrue(isKvHandleFreed(free));
            assertEquals("/kv-handle/h1", free.message().target());
            assertEquals(0, raw.connectionsWaiting(), "the request was sent again");
            fixture.assertQuiet();
        }
    }

    /** The response to a request that frees a handle has no attempt id, so its connection carries no other request. */
    @Test
    void theResponseToAFreedKvHandleIsNotRelayedToAnotherRequest() throws Exception {
        fixture.servers.prefill();
        Wire client = fixture.sendRequest("/gen/", PROMPT); // there is no decode server
        Call prefillCall = fixture.nextCall();
        handOver(prefillCall, "h1");
        Call free = fixture.nextCall();
        assertTrue(isKvHandleFreed(free));
        assertNotSame(prefillCall.wire(), free.wire());
        assertEquals(503, client.read().status());
        free.wire().answer("404 Not Found", "", "gone");
        free.wire().awaitEnd();
        fixture.pass(REUSABLE_AFTER_MS);
        Wire next = fixture.sendRequest("/gen/", PROMPT);
        Call nextPrefill = fixture.nextCall();
        assertNotSame(free.wire(), nextPrefill.wire());
        handOver(nextPrefill, "h2");
        assertTrue(isKvHandleFreed(fixture.nextCall()));
        assertEquals(503, next.read().status());
        assertFalse(next.hasBytes());
        fixture.assertQuiet();
    }
}
