package dewplank.dataplane;

import static dewplank.dataplane.CallFields.attemptId;
import static dewplank.dataplane.CallFields.kvFrom;
import static dewplank.dataplane.CallFields.lastEventId;
import static dewplank.dataplane.CallFields.remainingTimeMs;
import static dewplank.dataplane.CallFields.stage;
import static dewplank.dataplane.CallFields.targetInstance;
import static dewplank.dataplane.ClientRequests.MEDIUM_PROMPT;
import static dewplank.dataplane.ClientRequests.PROMPT;
import static dewplank.dataplane.ClientRequests.SHORT_PROMPT;
import static dewplank.dataplane.ClientRequests.prompt;
import static dewplank.dataplane.ServerResponses.SEAL;
import static dewplank.dataplane.ServerResponses.event;
import static dewplank.dataplane.ServerResponses.idOf;
import static dewplank.dataplane.ServerResponses.reject;
import static dewplank.dataplane.ServerResponses.respond;
import static dewplank.dataplane.ServerResponses.respondWithKvHandle;
import static dewplank.dataplane.TestConfiguration.MODEL;
import static dewplank.dataplane.TestRoute.streamingRoute;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
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
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Prefill at one server and decode at another: the requests that each receives, and when KV handles are freed. */
class GenerationTest {
    /** Limits that allow one retry for one request, because 80% of the ratio is used. */
    private static final RetryBudgets.Limits ONE_RETRY = new RetryBudgets.Limits(1.25, 10_000, 0);

    private ForwarderFixture fixture;

    @BeforeEach
    void setUp() throws Exception {
        fixture = fixtureBuilder().start();
    }

    private static ForwarderFixture.Builder fixtureBuilder() {
        return ForwarderFixture.builder()
                .routes(
                        streamingRoute("gen", 3),
                        streamingRoute("res", 3).asResumable(),
                        streamingRoute("one", 1),
                        streamingRoute("two", 2),
                        streamingRoute("brief", 3).withTimeout(200),
                        streamingRoute("paced", 3).withTargetLatency(625).withGapTarget(150),
                        streamingRoute("gapped", 3).withGapTarget(150));
    }

    /** Restarts the fixture with these limits on retries. */
    private void limitRetries(RetryBudgets.Limits limits) throws Exception {
        fixture.close();
        fixture = fixtureBuilder().retryLimits(limits).start();
    }

    /** Sends a request, and lets the prefill server respond with the handle. */
    private TestPeer sendPrefilled(String target, String handle) throws Exception {
        TestPeer client = fixture.sendRequest(target, PROMPT);
        respondWithKvHandle(fixture.nextCall(), handle);
        return client;
    }

    @AfterEach
    void tearDown() throws IOException {
        fixture.close();
    }

    private static void assertIsPrefill(Call call) {
        assertEquals("prefill", stage(call));
        assertNull(kvFrom(call));
    }

    private static void assertIsDecode(Call call, String kvFrom) {
        assertNull(stage(call));
        assertEquals(kvFrom, kvFrom(call));
        assertEquals(kvFrom == null ? 0 : 1, call.message().count("Kv-From"));
    }

    private void assertIsFreed(Call call, ScriptedServer at, String handle) {
        assertEquals("DELETE", call.message().method());
        assertEquals("/kv-handle/" + handle, call.message().target());
        assertEquals(fixture.servers.id(at), targetInstance(call));
        assertSame(at, call.server());
        assertEquals(fixture.servers.id(at), targetInstance(call));
    }

    /** The decode server sends one event and the end of the stream, and the client receives both. */
    private static void assertStreamsToEnd(Call decode, TestPeer client) throws IOException {
        StartedStream.start(decode, client).assertEnds();
    }

    // ---- prefill and decode --------------------------------------------------------------------------

    @Test
    void aPromptIsPrefilledAtOneServerAndDecodedAtAnother() throws Exception {
        ScriptedServer prefill = fixture.servers.prefill();
        ScriptedServer decode = fixture.servers.decode();
        TestPeer client = fixture.sendRequest("/gen/x?y", PROMPT);
        Call prefillCall = fixture.nextCall();
        assertSame(prefill, prefillCall.server());
        assertIsPrefill(prefillCall);
        assertEquals("POST /gen/x?y HTTP/1.1", prefillCall.message().startLine());
        assertEquals("hi", prefillCall.message().body());
        assertEquals(fixture.servers.id(prefill), targetInstance(prefillCall));
        long left = remainingTimeMs(prefillCall);
        assertTrue(left > 0 && left <= 8_000);
        respondWithKvHandle(prefillCall, "3fa0");
        Call decodeCall = fixture.nextCall();
        assertSame(decode, decodeCall.server());
        assertIsDecode(decodeCall, prefill.addressText() + "/3fa0");
        assertEquals("POST /gen/x?y HTTP/1.1", decodeCall.message().startLine());
        assertEquals("hi", decodeCall.message().body());
        assertEquals(fixture.servers.id(decode), targetInstance(decodeCall));
        assertTrue(remainingTimeMs(decodeCall) <= left);
        assertEquals(attemptId(prefillCall), attemptId(decodeCall));
        assertEquals("aa:30000,bb:20000,c0:30000", decodeCall.message().header("X-Dewplank-Prompt-Prefix"));
        assertNull(lastEventId(decodeCall));
        assertStreamsToEnd(decodeCall, client);
        fixture.assertNoOpenRequests();
    }

    /** Only the data plane sets these fields; a client's own are dropped. */
    @ParameterizedTest
    @ValueSource(
            strings = {
                "X-Dewplank-Processing-Stage: decode\r\nkv-from: 10.0.0.1:80/other\r\n"
                        + "X-Dewplank-Target-Instance: i-other\r\n",
                "X-Dewplank-Processing-Stage: prefill\r\nkv-from: 127.0.0.1:9/another\r\n"
            })
    void aClientsStageKvHandleAndInstanceAreNotForwarded(String fields) throws Exception {
        ScriptedServer prefill = fixture.servers.prefill();
        fixture.servers.decode();
        TestPeer client = fixture.sendRequest("/gen/", PROMPT + fields);
        Call prefillCall = fixture.nextCall();
        assertIsPrefill(prefillCall);
        assertEquals(1, prefillCall.message().count("X-Dewplank-Processing-Stage"));
        assertEquals(1, prefillCall.message().count("X-Dewplank-Target-Instance"));
        assertEquals(0, prefillCall.message().count("Kv-From"));
        respondWithKvHandle(prefillCall, "own");
        Call decodeCall = fixture.nextCall();
        assertIsDecode(decodeCall, prefill.addressText() + "/own");
        assertEquals(0, decodeCall.message().count("X-Dewplank-Processing-Stage"));
        assertEquals(1, decodeCall.message().count("Kv-From"));
        assertStreamsToEnd(decodeCall, client);
        TestPeer direct = fixture.sendRequest("/gen/", fields);
        Call alone = fixture.nextCall();
        assertIsDecode(alone, null);
        assertStreamsToEnd(alone, direct);
        fixture.assertNoOpenRequests();
    }

    /** Prefill does not count as running the request, so the client may retry. */
    @Test
    void aRequestInPrefillAtTerminationIsRejected() throws Exception {
        fixture.servers.prefill();
        fixture.servers.decode();
        TestPeer client = fixture.sendRequest("/gen/", PROMPT);
        Call prefillCall = fixture.nextCall();
        OnLoop.run(fixture.loop, fixture.forwarder::respondToAll);
        assertEquals(503, client.read().status());
        prefillCall.peer().awaitClose();
        fixture.assertNoOpenRequests();
    }

    @Test
    void eachRequestIsDecodedFromItsOwnKvHandle() throws Exception {
        ScriptedServer prefill = fixture.servers.prefill();
        fixture.servers.decode();
        TestPeer first = fixture.sendRequest("/gen/1", PROMPT);
        Call firstPrefill = fixture.nextCall();
        TestPeer second = fixture.sendRequest("/gen/2", PROMPT);
        Call secondPrefill = fixture.nextCall();
        respondWithKvHandle(secondPrefill, "h2");
        Call secondDecode = fixture.nextCall();
        assertEquals("/gen/2", secondDecode.message().target());
        assertIsDecode(secondDecode, prefill.addressText() + "/h2");
        respondWithKvHandle(firstPrefill, "h1");
        Call firstDecode = fixture.nextCall();
        assertEquals("/gen/1", firstDecode.message().target());
        assertIsDecode(firstDecode, prefill.addressText() + "/h1");
        assertStreamsToEnd(firstDecode, first);
        assertStreamsToEnd(secondDecode, second);
        fixture.assertNoOpenRequests();
    }

    /** A late response to an earlier prefill arrives before the response to this one. */
    @Test
    void aKvHandleForAnotherAttemptIdIsDiscarded() throws Exception {
        ScriptedServer prefill = fixture.servers.prefill();
        fixture.servers.decode();
        TestPeer client = fixture.sendRequest("/gen/", PROMPT);
        Call prefillCall = fixture.nextCall();
        prefillCall
                .peer()
                .respond(
                        "200 OK",
                        "X-Dewplank-Request-Attempt-Id: another\r\n",
                        "{\"context_handle\":\"wrong\",\"token_count\":60,\"config_version\":1}");
        respondWithKvHandle(prefillCall, "own");
        Call decodeCall = fixture.nextCall();
        assertIsDecode(decodeCall, prefill.addressText() + "/own");
        assertStreamsToEnd(decodeCall, client);
        fixture.assertNoOpenRequests();
    }

    // ---- no prefill -----------------------------------------------------------------------------------

    @Test
    void withoutAPrefillServerTheDecodeServerPrefills() throws Exception {
        fixture.servers.decode();
        TestPeer client = fixture.sendRequest("/gen/", PROMPT);
        Call decodeCall = fixture.nextCall();
        assertIsDecode(decodeCall, null);
        assertStreamsToEnd(decodeCall, client);
        fixture.assertNoOpenRequests();
    }

    @Test
    void withoutAPromptPrefillIsSkipped() throws Exception {
        fixture.servers.prefill();
        ScriptedServer decode = fixture.servers.decode();
        TestPeer client = fixture.sendRequest("/gen/");
        Call decodeCall = fixture.nextCall();
        assertSame(decode, decodeCall.server());
        assertIsDecode(decodeCall, null);
        assertStreamsToEnd(decodeCall, client);
        fixture.assertNoOpenRequests();
    }

    @Test
    void anUnreachablePrefillServerDoesNotCountAsAnAttempt() throws Exception {
        fixture.servers.refusingPrefill();
        fixture.servers.decode();
        TestPeer client = fixture.sendRequest("/one/", PROMPT);
        Call decodeCall = fixture.nextCall();
        assertIsDecode(decodeCall, null);
        assertStreamsToEnd(decodeCall, client);
        fixture.assertNoOpenRequests();
    }

    /** A prefill that is reset does not count as running the request, so the request can still be rejected with 503. */
    @Test
    void aResetPrefillDoesNotCountAsARun() throws Exception {
        fixture.servers.prefill();
        fixture.servers.decode();
        TestPeer client = fixture.sendRequest("/gen/", PROMPT);
        fixture.nextCall().peer().reset();
        Call decodeCall = fixture.nextCall();
        assertIsDecode(decodeCall, null);
        reject(decodeCall);
        assertEquals(503, client.read().status(), "the request has not run");
        fixture.assertNoOpenRequests();
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "",
                "{}",
                "[]",
                "{\"context_handle\":\"\",\"token_count\":1}",
                "{\"context_handle\":null,\"token_count\":1}",
                "null",
                "{\"contex",
                "{\"context_handle\":\"a/b\",\"token_count\":1}",
                "{\"context_handle\":\"a\\r\\nX: y\",\"token_count\":1}"
            })
    void aResponseWithoutAKvHandleLeadsToDecodeWithoutOne(String body) throws Exception {
        fixture.servers.decode();
        fixture.servers.prefill();
        TestPeer client = fixture.sendRequest("/gen/", PROMPT);
        Call prefillCall = fixture.nextCall();
        assertIsPrefill(prefillCall);
        respond(prefillCall, "200 OK", "", body);
        Call decodeCall = fixture.nextCall();
        assertIsDecode(decodeCall, null);
        assertStreamsToEnd(decodeCall, client);
        fixture.assertNoOpenRequests();
    }

    @Test
    void aRejectedPrefillIsRetriedAtAnotherServer() throws Exception {
        fixture.servers.prefillServers(2);
        fixture.servers.decode();
        TestPeer client = fixture.sendRequest("/gen/", PROMPT);
        Call full = fixture.nextCall();
        assertIsPrefill(full);
        reject(full);
        Call retry = fixture.nextCall();
        assertIsPrefill(retry);
        assertNotSame(full.server(), retry.server());
        respondWithKvHandle(retry, "h");
        Call decodeCall = fixture.nextCall();
        assertIsDecode(decodeCall, retry.server().addressText() + "/h");
        assertStreamsToEnd(decodeCall, client);
        fixture.assertNoOpenRequests();
    }

    /**
     * The first prefill is exempt from the limit unless it is rejected; after a rejection no attempt is left for
     * decode.
     */
    @Test
    void aRejectedPrefillCountsAsAnAttempt() throws Exception {
        fixture.servers.prefill();
        fixture.servers.decode();
        TestPeer client = fixture.sendRequest("/one/", PROMPT);
        reject(fixture.nextCall());
        assertEquals(503, client.read().status());
        fixture.assertNoOpenRequests();
    }

    @Test
    void anOverduePrefillIsCancelledAndDecodeStarts() throws Exception {
        fixture.servers.prefill();
        ScriptedServer decode = fixture.servers.decode();
        TestPeer client = fixture.sendRequest("/gen/", SHORT_PROMPT);
        Call prefillCall = fixture.nextCall();
        for (int sends = 1; prefillCall.server() == decode; sends++) { // the connection was not established in time
            assertTrue(sends < ForwarderFixture.MAX_SENDS, "no request was prefilled");
            assertStreamsToEnd(prefillCall, client);
            client = fixture.sendRequest("/gen/", SHORT_PROMPT);
            prefillCall = fixture.nextCall();
        }
        assertIsPrefill(prefillCall);
        Call decodeCall = fixture.nextCall();
        prefillCall.peer().awaitClose();
        assertSame(decode, decodeCall.server());
        assertIsDecode(decodeCall, null);
        assertStreamsToEnd(decodeCall, client);
        fixture.assertNoOpenRequests();
    }

    /**
     * Prefill at a decode server would stall its other streams for longer than their target for gaps between events.
     * The prefill is overdue after 0.5 s, but is not cancelled until 0.5 s before the client abandons the stream, which
     * it does after four times the target latency of 625 ms.
     */
    @Test
    void anOverdueLongPrefillContinuesUntilTheLatestStartOfDecode() throws Exception {
        fixture.servers.prefill();
        ScriptedServer decode = fixture.servers.decode();
        double sentAt = fixture.now();
        TestPeer client = fixture.sendRequest("/paced/", prompt("aa:2000,c0:2000"));
        Call prefillCall = fixture.nextCall();
        Call decodeCall = fixture.nextCall();
        assertTrue(fixture.now() - sentAt >= 1_500, "decode started as soon as the prefill was overdue");
        prefillCall.peer().awaitClose();
        assertSame(decode, decodeCall.server());
        assertIsDecode(decodeCall, null);
        assertStreamsToEnd(decodeCall, client);
        fixture.assertNoOpenRequests();
    }

    @Test
    void anOverdueLongPrefillIsRetriedAtAnotherPrefillServer() throws Exception {
        ScriptedServer one = fixture.servers.prefill();
        ScriptedServer two = fixture.servers.prefill();
        fixture.servers.decode();
        TestPeer client = fixture.sendRequest("/gapped/", MEDIUM_PROMPT);
        Call first = fixture.nextCall();
        Call second = fixture.nextCall();
        first.peer().awaitClose();
        assertIsPrefill(second);
        assertSame(first.server() == one ? two : one, second.server());
        respondWithKvHandle(second, "h2");
        Call decodeCall = fixture.nextCall();
        assertIsDecode(decodeCall, second.server().addressText() + "/h2");
        assertStreamsToEnd(decodeCall, client);
        fixture.assertNoOpenRequests();
    }

    // ---- KV handles -----------------------------------------------------------------------------------

    @Test
    void aKvHandleIsFreedWithoutADecodeServer() throws Exception {
        ScriptedServer prefill = fixture.servers.prefill();
        TestPeer client = sendPrefilled("/gen/", "h1");
        Call freed = fixture.nextCall();
        assertIsFreed(freed, prefill, "h1");
        freed.peer().respond("200 OK", "", "");
        TestPeer.Message response = client.read();
        assertEquals(503, response.status());
        assertTrue(Double.parseDouble(response.header("Retry-After")) > 0);
        fixture.assertNoOpenRequests();
    }

    @Test
    void aKvHandleIsFreedIfTheDecodeServerIsUnreachable() throws Exception {
        ScriptedServer prefill = fixture.servers.prefill();
        fixture.servers.refusingDecode();
        TestPeer client = sendPrefilled("/gen/", "h1");
        assertIsFreed(fixture.nextCall(), prefill, "h1");
        assertEquals(503, client.read().status());
        fixture.assertNoOpenRequests();
    }

    @Test
    void anUnsentKvHandleIsSentToTheNextDecodeServer() throws Exception {
        ScriptedServer prefill = fixture.servers.prefill();
        fixture.servers.refusingDecode();
        ScriptedServer there = fixture.servers.decode();
        fixture.servers.refusingDecode();
        TestPeer client = sendPrefilled("/one/", "h1");
        Call decodeCall = fixture.nextCall();
        assertSame(there, decodeCall.server());
        assertIsDecode(decodeCall, prefill.addressText() + "/h1");
        assertStreamsToEnd(decodeCall, client);
        fixture.assertNoOpenRequests();
    }

    /** A KV cache can be fetched only once, and the server that rejected the request may have fetched it. */
    @Test
    void aKvHandleIsSentToOneDecodeServerOnly() throws Exception {
        ScriptedServer prefill = fixture.servers.prefill();
        fixture.servers.decodeServers(2);
        TestPeer client = sendPrefilled("/gen/", "h1");
        Call first = fixture.nextCall();
        assertIsDecode(first, prefill.addressText() + "/h1");
        reject(first);
        Call second = nextDecodeCall();
        assertNotSame(first.server(), second.server());
        assertNotEquals(prefill.addressText() + "/h1", kvFrom(second));
        assertStreamsToEnd(second, client);
    }

    @Test
    void aResumedStreamDoesNotSendItsKvHandleAgain() throws Exception {
        ScriptedServer prefill = fixture.servers.prefill();
        fixture.servers.decodeServers(2);
        TestPeer client = sendPrefilled("/res/", "h1");
        Call first = fixture.nextCall();
        first.peer().reset();
        Call second = nextDecodeCall();
        assertNotEquals(prefill.addressText() + "/h1", kvFrom(second));
        assertStreamsToEnd(second, client);
    }

    /** Responds to requests that free KV handles and to further prefills until a decode arrives. */
    private Call nextDecodeCall() throws Exception {
        Call call = fixture.nextCall();
        while (call.message().method().equals("DELETE") || "prefill".equals(stage(call))) {
            if (call.message().method().equals("DELETE")) {
                call.peer().respond("200 OK", "", "");
            } else {
                respondWithKvHandle(call, "again");
            }
            call = fixture.nextCall();
        }
        return call;
    }

    /** The decode server was full. The prefill server still stores the KV cache, which no server will fetch. */
    @Test
    void aKvHandleIsFreedIfItsDecodeServerRejectsTheRequest() throws Exception {
        ScriptedServer prefill = fixture.servers.prefill();
        fixture.servers.decode();
        TestPeer client = sendPrefilled("/one/", "h1");
        reject(fixture.nextCall());
        assertEquals(503, client.read().status());
        assertIsFreed(fixture.nextCall(), prefill, "h1");
    }

    @Test
    void aClientThatDisconnectsDuringPrefillCancelsIt() throws Exception {
        fixture.servers.prefill();
        fixture.servers.decode();
        TestPeer client = fixture.sendRequest("/gen/", PROMPT);
        Call prefillCall = fixture.nextCall();
        client.close();
        prefillCall.peer().awaitClose();
        fixture.assertNoOpenRequests();
    }

    /** The KV handle arrives after the client has disconnected, on a connection that is closed by then. */
    @Test
    void aKvHandleThatArrivesAfterItsClientDisconnectedIsNotDecoded() throws Exception {
        fixture.servers.prefill();
        fixture.servers.decode();
        TestPeer client = fixture.sendRequest("/gen/", PROMPT);
        Call prefillCall = fixture.nextCall();
        OnLoop.run(fixture.loop, () -> {
            client.close();
            respondWithKvHandle(prefillCall, "h1");
        });
        fixture.awaitNoOpenRequest();
        OnLoop.run(fixture.loop, () -> {});
        while (!fixture.servers.calls.isEmpty()) { // the handle was read before the disconnect
            assertNotEquals("POST", respondToFree(fixture.nextCall()), "decode was started for a disconnected client");
        }
        fixture.assertNoOpenRequests();
    }

    private static String respondToFree(Call call) throws IOException {
        call.peer().respond("200 OK", "", "");
        return call.message().method();
    }

    @Test
    void aClientThatDisconnectsBeforeItsStreamCancelsDecode() throws Exception {
        fixture.servers.prefill();
        fixture.servers.decode();
        TestPeer client = sendPrefilled("/gen/", "h1");
        Call decodeCall = fixture.nextCall();
        client.close();
        decodeCall.peer().awaitClose();
        fixture.awaitNoOpenRequest();
    }

    /** The connection to the decode server is not established, so the KV handle was not sent. */
    @Test
    void anUnsentKvHandleIsFreedWhenTheClientDisconnects() throws Exception {
        ScriptedServer prefill = fixture.servers.prefill();
        ScriptedServer late =
                fixture.servers.add(ScriptedServer.withDelayedAccept(fixture.servers.calls), MODEL, "decode");
        TestPeer client = sendPrefilled("/gen/", "h1");
        OnLoop.await(fixture.loop, () -> fixture.metadata.servers(MODEL).stream()
                .anyMatch(server -> server.instanceId().equals(fixture.servers.id(late)) && server.inFlight() == 1));
        client.close();
        assertIsFreed(fixture.nextCall(), prefill, "h1");
    }

    @Test
    void anUnsentKvHandleIsFreedAtTheDeadline() throws Exception {
        ScriptedServer prefill = fixture.servers.prefill();
        fixture.servers.add(ScriptedServer.withDelayedAccept(fixture.servers.calls), MODEL, "decode");
        for (int sends = 0; sends < ForwarderFixture.MAX_SENDS && freedHandles() == 0; sends++) {
            TestPeer client =
                    fixture.sendRequest("/brief/", PROMPT); // its 200 ms expire before the connection is set up
            respondWithKvHandle(
                    fixture.nextCall(), "h1"); // on a busy machine after the deadline; the request is then sent again
            assertEquals(503, client.read().status(), "the request cannot have run");
        }
        assertIsFreed(fixture.nextCall(), prefill, "h1");
    }

    private long freedHandles() throws Exception {
        return OnLoop.get(fixture.loop, () -> fixture.forwarder.counters().of(Counters.Count.FREED));
    }

    // ---- rejected and failed decodes -----------------------------------------------------------------

    @Test
    void aRejectedDecodeIsRetriedWithinMaxAttempts() throws Exception {
        fixture.servers.decodeServers(3);
        TestPeer client = fixture.sendRequest("/two/", PROMPT);
        Call first = fixture.nextCall();
        reject(first);
        Call second = fixture.nextCall();
        assertNotSame(first.server(), second.server());
        reject(second);
        TestPeer.Message response = client.read();
        assertEquals(503, response.status());
        assertTrue(Double.parseDouble(response.header("Retry-After")) > 0);
        fixture.assertNoOpenRequests();
    }

    @Test
    void withoutARetryBudgetARejectedDecodeIsNotRetried() throws Exception {
        limitRetries(ForwarderFixture.NO_RETRIES);
        fixture.servers.decodeServers(2);
        TestPeer client = fixture.sendRequest("/gen/", PROMPT);
        reject(fixture.nextCall());
        assertEquals(503, client.read().status());
        fixture.assertNoOpenRequests();
    }

    /** A rejected prefill counts as an attempt, so the decode is the only attempt after the first. */
    @Test
    void aDecodeAfterARejectedPrefillIsChargedOnce() throws Exception {
        limitRetries(ONE_RETRY);
        fixture.servers.prefill();
        fixture.servers.decode();
        TestPeer client = fixture.sendRequest("/gen/", PROMPT);
        reject(fixture.nextCall());
        assertStreamsToEnd(fixture.nextCall(), client);
        fixture.assertNoOpenRequests();
    }

    /** Only an attempt that a server accepts is exempt from the retry budget. */
    @Test
    void aPrefillThatIsResetIsChargedIfNoOtherServerAcceptsThePrompt() throws Exception {
        limitRetries(ONE_RETRY);
        fixture.servers.prefill();
        fixture.servers.decodeServers(2);
        TestPeer client = fixture.sendRequest("/gen/", PROMPT);
        fixture.nextCall().peer().reset();
        reject(fixture.nextCall());
        assertEquals(503, client.read().status());
        fixture.assertNoOpenRequests();
    }

    @Test
    void withoutARetryBudgetThePromptIsStillPrefilled() throws Exception {
        limitRetries(ForwarderFixture.NO_RETRIES);
        ScriptedServer prefill = fixture.servers.prefill();
        fixture.servers.decode();
        TestPeer client = sendPrefilled("/gen/", "h1");
        Call decodeCall = fixture.nextCall();
        assertIsDecode(decodeCall, prefill.addressText() + "/h1");
        assertStreamsToEnd(decodeCall, client);
        fixture.assertNoOpenRequests();
    }

    @Test
    void aMisdirectedDecodeIsRetriedAtAnotherServer() throws Exception {
        fixture.servers.decodeServers(2);
        TestPeer client = fixture.sendRequest("/gen/", PROMPT);
        Call first = fixture.nextCall();
        respond(first, "421 Misdirected Request", "", "");
        Call second = fixture.nextCall();
        assertNotSame(first.server(), second.server());
        assertStreamsToEnd(second, client);
        fixture.assertNoOpenRequests();
    }

    @Test
    void aDecodeThatIsResetBeforeItsStreamIsNotRetried() throws Exception {
        fixture.servers.decodeServers(2);
        TestPeer client = fixture.sendRequest("/gen/", PROMPT);
        fixture.nextCall().peer().reset();
        assertEquals(502, client.read().status());
        fixture.assertNoOpenRequests();
    }

    @ParameterizedTest
    @ValueSource(strings = {"500 Internal Server Error", "504 Gateway Timeout", "400 Bad Request"})
    void aFinalFailureIsRelayed(String status) throws Exception {
        fixture.servers.decode();
        TestPeer client = fixture.sendRequest("/gen/", PROMPT);
        respond(fixture.nextCall(), status, SEAL, "its own");
        TestPeer.Message response = client.read();
        assertEquals(status.substring(0, 3), Integer.toString(response.status()));
        assertEquals("its own", response.body());
        fixture.assertNoOpenRequests();
    }

    @ParameterizedTest
    @ValueSource(strings = {"503 Service Unavailable", "429 Too Many Requests"})
    void a503Or429WithoutTheNotExecutedMarkIsNotRelayed(String status) throws Exception {
        fixture.servers.decode();
        TestPeer client = fixture.sendRequest("/gen/", PROMPT);
        respond(fixture.nextCall(), status, "", "");
        assertEquals(502, client.read().status());
        fixture.assertNoOpenRequests();
    }

    @Test
    void aStreamWithoutASealIsAFailure() throws Exception {
        fixture.servers.decode();
        TestPeer client = fixture.sendRequest("/gen/", PROMPT);
        Call decodeCall = fixture.nextCall();
        decodeCall.peer().send("HTTP/1.1 200 OK\r\n" + idOf(decodeCall) + "Transfer-Encoding: chunked\r\n\r\n");
        decodeCall.peer().chunk(event(1));
        decodeCall.peer().lastChunk();
        assertEquals(502, client.read().status());
        fixture.assertNoOpenRequests();
    }

    // ---- deadline before the stream -------------------------------------------------------------------

    @Test
    void aDecodeInFlightAtItsDeadlineIsNotRejected() throws Exception {
        fixture.servers.decode();
        ForwarderFixture.InFlight request = fixture.sendUntilAtServer("/brief/", PROMPT);
        assertEquals(504, request.client().read().status());
        request.call().peer().awaitClose();
        fixture.assertNoOpenRequests();
    }

    @Test
    void aPrefillInFlightAtItsDeadlineIsRejected() throws Exception {
        fixture.servers.prefill();
        fixture.servers.decode();
        ForwarderFixture.InFlight request = fixture.sendUntilAtServer("/brief/", PROMPT);
        assertIsPrefill(request.call());
        assertEquals(503, request.client().read().status(), "the request has not run");
        request.call().peer().awaitClose();
        fixture.assertNoOpenRequests();
    }

    @Test
    void aDrainingServerGetsNoNewRequest() throws Exception {
        ScriptedServer draining = fixture.servers.decode();
        fixture.servers.drain(draining);
        TestPeer rejected = fixture.sendRequest("/gen/", PROMPT);
        assertEquals(503, rejected.read().status());
        ScriptedServer ready = fixture.servers.decode();
        TestPeer client = fixture.sendRequest("/gen/", PROMPT);
        Call decodeCall = fixture.nextCall();
        assertSame(ready, decodeCall.server());
        assertStreamsToEnd(decodeCall, client);
        fixture.assertNoOpenRequests();
        assertFalse(draining.pendingConnections() > 0);
    }
}
