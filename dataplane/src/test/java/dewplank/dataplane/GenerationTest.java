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
import static dewplank.dataplane.ServerAnswers.SEAL;
import static dewplank.dataplane.ServerAnswers.answer;
import static dewplank.dataplane.ServerAnswers.event;
import static dewplank.dataplane.ServerAnswers.handOver;
import static dewplank.dataplane.ServerAnswers.idOf;
import static dewplank.dataplane.ServerAnswers.reject;
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
import dewplank.exchange.Wire;
import java.io.IOException;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Prefill at one server and decode at another: the requests that each receives, and when KV handles are freed. */
class GenerationTest {
    /** One retry for one request, as 80% of the ratio is used. */
    private static final RetryBudgets.Limits ONE_RETRY = new RetryBudgets.Limits(1.25, 10_000, 0);

    private ForwarderFixture net;

    @BeforeEach
    void begin() throws Exception {
        net = fixture().start();
    }

    private static ForwarderFixture.Builder fixture() {
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
        net.close();
        net = fixture().retryLimits(limits).start();
    }

    /** Sends a request, and lets the prefill server respond with the handle. */
    private Wire sendPrefilled(String target, String handle) throws Exception {
        Wire client = net.sendRequest(target, PROMPT);
        handOver(net.nextCall(), handle);
        return client;
    }

    @AfterEach
    void end() throws IOException {
        net.close();
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
        assertEquals(net.servers.id(at), targetInstance(call));
        assertSame(at, call.server());
        assertEquals(net.servers.id(at), targetInstance(call));
    }

    /** The decode server sends one event and the end of the stream, and the client receives both. */
    private static void assertStreamsToEnd(Call decode, Wire client) throws IOException {
        BegunStream.begin(decode, client).assertEnds();
    }

    // ---- prefill and decode --------------------------------------------------------------------------

    @Test
    void aPromptIsPrefilledAtOneServerAndDecodedAtAnother() throws Exception {
        ScriptedServer prefill = net.servers.prefill();
        ScriptedServer decode = net.servers.decode();
        Wire client = net.sendRequest("/gen/x?y", PROMPT);
        Call prefillCall = net.nextCall();
        assertSame(prefill, prefillCall.server());
        assertIsPrefill(prefillCall);
        assertEquals("POST /gen/x?y HTTP/1.1", prefillCall.message().startLine());
        assertEquals("hi", prefillCall.message().body());
        assertEquals(net.servers.id(prefill), targetInstance(prefillCall));
        long left = remainingTimeMs(prefillCall);
        assertTrue(left > 0 && left <= 8_000);
        handOver(prefillCall, "3fa0");
        Call decodeCall = net.nextCall();
        assertSame(decode, decodeCall.server());
        assertIsDecode(decodeCall, prefill.addressText() + "/3fa0");
        assertEquals("POST /gen/x?y HTTP/1.1", decodeCall.message().startLine());
        assertEquals("hi", decodeCall.message().body());
        assertEquals(net.servers.id(decode), targetInstance(decodeCall));
        assertTrue(remainingTimeMs(decodeCall) <= left);
        assertEquals(attemptId(prefillCall), attemptId(decodeCall));
        assertEquals("aa:30000,bb:20000,c0:30000", decodeCall.message().header("X-Dewplank-Prompt-Prefix"));
        assertNull(lastEventId(decodeCall));
        assertStreamsToEnd(decodeCall, client);
        net.assertQuiet();
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
        ScriptedServer prefill = net.servers.prefill();
        net.servers.decode();
        Wire client = net.sendRequest("/gen/", PROMPT + fields);
        Call prefillCall = net.nextCall();
        assertIsPrefill(prefillCall);
        assertEquals(1, prefillCall.message().count("X-Dewplank-Processing-Stage"));
        assertEquals(1, prefillCall.message().count("X-Dewplank-Target-Instance"));
        assertEquals(0, prefillCall.message().count("Kv-From"));
        handOver(prefillCall, "own");
        Call decodeCall = net.nextCall();
        assertIsDecode(decodeCall, prefill.addressText() + "/own");
        assertEquals(0, decodeCall.message().count("X-Dewplank-Processing-Stage"));
        assertEquals(1, decodeCall.message().count("Kv-From"));
        assertStreamsToEnd(decodeCall, client);
        Wire direct = net.sendRequest("/gen/", fields);
        Call alone = net.nextCall();
        assertIsDecode(alone, null);
        assertStreamsToEnd(alone, direct);
        net.assertQuiet();
    }

    /** Prefill does not count as running the request, so the client may retry. */
    @Test
    void aRequestInPrefillAtTerminationIsRejected() throws Exception {
        net.servers.prefill();
        net.servers.decode();
        Wire client = net.sendRequest("/gen/", PROMPT);
        Call prefillCall = net.nextCall();
        OnLoop.run(net.loop, net.forwarder::terminateAll);
        assertEquals(503, client.read().status());
        prefillCall.wire().awaitEnd();
        net.assertQuiet();
    }

    @Test
    void eachRequestIsDecodedFromItsOwnKvHandle() throws Exception {
        ScriptedServer prefill = net.servers.prefill();
        net.servers.decode();
        Wire first = net.sendRequest("/gen/1", PROMPT);
        Call firstPrefill = net.nextCall();
        Wire second = net.sendRequest("/gen/2", PROMPT);
        Call secondPrefill = net.nextCall();
        handOver(secondPrefill, "h2");
        Call secondDecode = net.nextCall();
        assertEquals("/gen/2", secondDecode.message().target());
        assertIsDecode(secondDecode, prefill.addressText() + "/h2");
        handOver(firstPrefill, "h1");
        Call firstDecode = net.nextCall();
        assertEquals("/gen/1", firstDecode.message().target());
        assertIsDecode(firstDecode, prefill.addressText() + "/h1");
        assertStreamsToEnd(firstDecode, first);
        assertStreamsToEnd(secondDecode, second);
        net.assertQuiet();
    }

    /** A late response to an earlier prefill arrives before the response to this one. */
    @Test
    void aKvHandleForAnotherAttemptIdIsDiscarded() throws Exception {
        ScriptedServer prefill = net.servers.prefill();
        net.servers.decode();
        Wire client = net.sendRequest("/gen/", PROMPT);
        Call prefillCall = net.nextCall();
        prefillCall
                .wire()
                .answer(
                        "200 OK",
                        "X-Dewplank-Request-Attempt-Id: another\r\n",
                        "{\"context_handle\":\"wrong\",\"token_count\":60,\"config_version\":1}");
        handOver(prefillCall, "own");
        Call decodeCall = net.nextCall();
        assertIsDecode(decodeCall, prefill.addressText() + "/own");
        assertStreamsToEnd(decodeCall, client);
        net.assertQuiet();
    }

    // ---- no prefill -----------------------------------------------------------------------------------

    @Test
    void withoutAPrefillServerTheDecodeServerPrefills() throws Exception {
        net.servers.decode();
        Wire client = net.sendRequest("/gen/", PROMPT);
        Call decodeCall = net.nextCall();
        assertIsDecode(decodeCall, null);
        assertStreamsToEnd(decodeCall, client);
        net.assertQuiet();
    }

    @Test
    void withoutAPromptPrefillIsSkipped() throws Exception {
        net.servers.prefill();
        ScriptedServer decode = net.servers.decode();
        Wire client = net.sendRequest("/gen/");
        Call decodeCall = net.nextCall();
        assertSame(decode, decodeCall.server());
        assertIsDecode(decodeCall, null);
        assertStreamsToEnd(decodeCall, client);
        net.assertQuiet();
    }

    @Test
    void anUnreachablePrefillServerDoesNotCountAsAnAttempt() throws Exception {
        net.servers.refusingPrefill();
        net.servers.decode();
        Wire client = net.sendRequest("/one/", PROMPT);
        Call decodeCall = net.nextCall();
        assertIsDecode(decodeCall, null);
        assertStreamsToEnd(decodeCall, client);
        net.assertQuiet();
    }

    /** A prefill that is reset does not count as running the request, so the request can still be rejected with 503. */
    @Test
    void aResetPrefillDoesNotCountAsARun() throws Exception {
        net.servers.prefill();
        net.servers.decode();
        Wire client = net.sendRequest("/gen/", PROMPT);
        net.nextCall().wire().reset();
        Call decodeCall = net.nextCall();
        assertIsDecode(decodeCall, null);
        reject(decodeCall);
        assertEquals(503, client.read().status(), "the request has not run");
        net.assertQuiet();
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
        net.servers.decode();
        net.servers.prefill();
        Wire client = net.sendRequest("/gen/", PROMPT);
        Call prefillCall = net.nextCall();
        assertIsPrefill(prefillCall);
        answer(prefillCall, "200 OK", "", body);
        Call decodeCall = net.nextCall();
        assertIsDecode(decodeCall, null);
        assertStreamsToEnd(decodeCall, client);
        net.assertQuiet();
    }

    @Test
    void aRejectedPrefillIsRetriedAtAnotherServer() throws Exception {
        net.servers.prefillServers(2);
        net.servers.decode();
        Wire client = net.sendRequest("/gen/", PROMPT);
        Call full = net.nextCall();
        assertIsPrefill(full);
        reject(full);
        Call retry = net.nextCall();
        assertIsPrefill(retry);
        assertNotSame(full.server(), retry.server());
        handOver(retry, "h");
        Call decodeCall = net.nextCall();
        assertIsDecode(decodeCall, retry.server().addressText() + "/h");
        assertStreamsToEnd(decodeCall, client);
        net.assertQuiet();
    }

    /** The first prefill is free of charge unless it is rejected; then no attempt is left for decode. */
    @Test
    void aRejectedPrefillCountsAsAnAttempt() throws Exception {
        net.servers.prefill();
        net.servers.decode();
        Wire client = net.sendRequest("/one/", PROMPT);
        reject(net.nextCall());
        assertEquals(503, client.read().status());
        net.assertQuiet();
    }

    @Test
    void anOverduePrefillIsCancelledAndDecodeStarts() throws Exception {
        net.servers.prefill();
        ScriptedServer decode = net.servers.decode();
        Wire client = net.sendRequest("/gen/", SHORT_PROMPT);
        Call prefillCall = net.nextCall();
        for (int sends = 1; prefillCall.server() == decode; sends++) { // the connection was not established in time
            assertTrue(sends < ForwarderFixture.MAX_SENDS, "no request was prefilled");
            assertStreamsToEnd(prefillCall, client);
            client = net.sendRequest("/gen/", SHORT_PROMPT);
            prefillCall = net.nextCall();
        }
        assertIsPrefill(prefillCall);
        Call decodeCall = net.nextCall();
        prefillCall.wire().awaitEnd();
        assertSame(decode, decodeCall.server());
        assertIsDecode(decodeCall, null);
        assertStreamsToEnd(decodeCall, client);
        net.assertQuiet();
    }

    /**
     * Prefill at a decode server would stall its other streams for longer than their target for gaps between events.
     * The prefill is overdue after 0.5 s, but is not cancelled until 0.5 s before the client abandons the stream, which
     * it does after four times the target latency of 625 ms.
     */
    @Test
    void anOverdueLongPrefillContinuesUntilTheLatestStartOfDecode() throws Exception {
        net.servers.prefill();
        ScriptedServer decode = net.servers.decode();
        double sentAt = net.now();
        Wire client = net.sendRequest("/paced/", prompt("aa:2000,c0:2000"));
        Call prefillCall = net.nextCall();
        Call decodeCall = net.nextCall();
        assertTrue(net.now() - sentAt >= 1_500, "decode started as soon as the prefill was overdue");
        prefillCall.wire().awaitEnd();
        assertSame(decode, decodeCall.server());
        assertIsDecode(decodeCall, null);
        assertStreamsToEnd(decodeCall, client);
        net.assertQuiet();
    }

    @Test
    void anOverdueLongPrefillIsRetriedAtAnotherPrefillServer() throws Exception {
        ScriptedServer one = net.servers.prefill();
        ScriptedServer two = net.servers.prefill();
        net.servers.decode();
        Wire client = net.sendRequest("/gapped/", MEDIUM_PROMPT);
        Call first = net.nextCall();
        Call second = net.nextCall();
        first.wire().awaitEnd();
        assertIsPrefill(second);
        assertSame(first.server() == one ? two : one, second.server());
        handOver(second, "h2");
        Call decodeCall = net.nextCall();
        assertIsDecode(decodeCall, second.server().addressText() + "/h2");
        assertStreamsToEnd(decodeCall, client);
        net.assertQuiet();
    }

    // ---- KV handles -----------------------------------------------------------------------------------

    @Test
    void aKvHandleIsFreedWithoutADecodeServer() throws Exception {
        ScriptedServer prefill = net.servers.prefill();
        Wire client = sendPrefilled("/gen/", "h1");
        Call freed = net.nextCall();
        assertIsFreed(freed, prefill, "h1");
        freed.wire().answer("200 OK", "", "");
        Wire.Message response = client.read();
        assertEquals(503, response.status());
        assertTrue(Double.parseDouble(response.header("Retry-After")) > 0);
        net.assertQuiet();
    }

    @Test
    void aKvHandleIsFreedIfTheDecodeServerIsUnreachable() throws Exception {
        ScriptedServer prefill = net.servers.prefill();
        net.servers.refusingDecode();
        Wire client = sendPrefilled("/gen/", "h1");
        assertIsFreed(net.nextCall(), prefill, "h1");
        assertEquals(503, client.read().status());
        net.assertQuiet();
    }

    @Test
    void anUnsentKvHandleIsSentToTheNextDecodeServer() throws Exception {
        ScriptedServer prefill = net.servers.prefill();
        net.servers.refusingDecode();
        ScriptedServer there = net.servers.decode();
        net.servers.refusingDecode();
        Wire client = sendPrefilled("/one/", "h1");
        Call decodeCall = net.nextCall();
        assertSame(there, decodeCall.server());
        assertIsDecode(decodeCall, prefill.addressText() + "/h1");
        assertStreamsToEnd(decodeCall, client);
        net.assertQuiet();
    }

    /** A KV cache can be fetched only once, and the server that rejected the request may have fetched it. */
    @Test
    void aKvHandleIsSentToOneDecodeServerOnly() throws Exception {
        ScriptedServer prefill = net.servers.prefill();
        net.servers.decodeServers(2);
        Wire client = sendPrefilled("/gen/", "h1");
        Call first = net.nextCall();
        assertIsDecode(first, prefill.addressText() + "/h1");
        reject(first);
        Call second = nextDecodeCall();
        assertNotSame(first.server(), second.server());
        assertNotEquals(prefill.addressText() + "/h1", kvFrom(second));
        assertStreamsToEnd(second, client);
    }

    @Test
    void aResumedStreamDoesNotSendItsKvHandleAgain() throws Exception {
        ScriptedServer prefill = net.servers.prefill();
        net.servers.decodeServers(2);
        Wire client = sendPrefilled("/res/", "h1");
        Call first = net.nextCall();
        first.wire().reset();
        Call second = nextDecodeCall();
        assertNotEquals(prefill.addressText() + "/h1", kvFrom(second));
        assertStreamsToEnd(second, client);
    }

    /** Responds to requests that free KV handles and to further prefills until a decode arrives. */
    private Call nextDecodeCall() throws Exception {
        Call call = net.nextCall();
        while (call.message().method().equals("DELETE") || "prefill".equals(stage(call))) {
            if (call.message().method().equals("DELETE")) {
                call.wire().answer("200 OK", "", "");
            } else {
                handOver(call, "again");
            }
            call = net.nextCall();
        }
        return call;
    }

    /** The decode server was full. The prefill server still stores the KV cache, which no server will fetch. */
    @Test
    void aKvHandleIsFreedIfItsDecodeServerRejectsTheRequest() throws Exception {
        ScriptedServer prefill = net.servers.prefill();
        net.servers.decode();
        Wire client = sendPrefilled("/one/", "h1");
        reject(net.nextCall());
        assertEquals(503, client.read().status());
        assertIsFreed(net.nextCall(), prefill, "h1");
    }

    @Test
    void aClientThatDisconnectsDuringPrefillCancelsIt() throws Exception {
        net.servers.prefill();
        net.servers.decode();
        Wire client = net.sendRequest("/gen/", PROMPT);
        Call prefillCall = net.nextCall();
        client.close();
        prefillCall.wire().awaitEnd();
        net.assertQuiet();
    }

    /** The KV handle arrives after the client has disconnected, on a connection that is closed by then. */
    @Test
    void aKvHandleThatArrivesAfterItsClientDisconnectedIsNotDecoded() throws Exception {
        net.servers.prefill();
        net.servers.decode();
        Wire client = net.sendRequest("/gen/", PROMPT);
        Call prefillCall = net.nextCall();
        OnLoop.run(net.loop, () -> {
            client.close();
            handOver(prefillCall, "h1");
        });
        net.awaitNoOpenRequest();
        OnLoop.run(net.loop, () -> {});
        while (!net.servers.calls.isEmpty()) { // the handle was read before the disconnect
            assertNotEquals("POST", respondToFree(net.nextCall()), "decode was started for a disconnected client");
        }
        net.assertQuiet();
    }

    private static String respondToFree(Call call) throws IOException {
        call.wire().answer("200 OK", "", "");
        return call.message().method();
    }

    @Test
    void aClientThatDisconnectsBeforeItsStreamCancelsDecode() throws Exception {
        net.servers.prefill();
        net.servers.decode();
        Wire client = sendPrefilled("/gen/", "h1");
        Call decodeCall = net.nextCall();
        client.close();
        decodeCall.wire().awaitEnd();
        net.awaitNoOpenRequest();
    }

    /** The connection to the decode server is not established, so the KV handle was not sent. */
    @Test
    void anUnsentKvHandleIsFreedWhenTheClientDisconnects() throws Exception {
        ScriptedServer prefill = net.servers.prefill();
        ScriptedServer late = net.servers.add(ScriptedServer.late(net.servers.calls), MODEL, "decode");
        Wire client = sendPrefilled("/gen/", "h1");
        OnLoop.await(net.loop, () -> net.metadata.servers(MODEL).stream()
                .anyMatch(server -> server.instanceId().equals(net.servers.id(late)) && server.inFlight() == 1));
        client.close();
        assertIsFreed(net.nextCall(), prefill, "h1");
    }

    @Test
    void anUnsentKvHandleIsFreedAtTheDeadline() throws Exception {
        ScriptedServer prefill = net.servers.prefill();
        net.servers.add(ScriptedServer.late(net.servers.calls), MODEL, "decode");
        for (int sends = 0; sends < ForwarderFixture.MAX_SENDS && freedHandles() == 0; sends++) {
            Wire client = net.sendRequest("/brief/", PROMPT); // its 200 ms expire before the connection is set up
            handOver(net.nextCall(), "h1"); // may be after the deadline on a busy machine; then it is repeated
            assertEquals(503, client.read().status(), "the request cannot have run");
        }
        assertIsFreed(net.nextCall(), prefill, "h1");
    }

    private long freedHandles() throws Exception {
        return OnLoop.get(net.loop, () -> net.forwarder.counters().of(Counters.Count.FREED));
    }

    // ---- rejected and failed decodes -----------------------------------------------------------------

    @Test
    void aRejectedDecodeIsRetriedWithinMaxAttempts() throws Exception {
        net.servers.decodeServers(3);
        Wire client = net.sendRequest("/two/", PROMPT);
        Call first = net.nextCall();
        reject(first);
        Call second = net.nextCall();
        assertNotSame(first.server(), second.server());
        reject(second);
        Wire.Message response = client.read();
        assertEquals(503, response.status());
        assertTrue(Double.parseDouble(response.header("Retry-After")) > 0);
        net.assertQuiet();
    }

    @Test
    void withoutARetryBudgetARejectedDecodeIsNotRetried() throws Exception {
        limitRetries(ForwarderFixture.NO_RETRIES);
        net.servers.decodeServers(2);
        Wire client = net.sendRequest("/gen/", PROMPT);
        reject(net.nextCall());
        assertEquals(503, client.read().status());
        net.assertQuiet();
    }

    /** A rejected prefill counts as an attempt, so the decode is the only attempt after the first. */
    @Test
    void aDecodeAfterARejectedPrefillIsChargedOnce() throws Exception {
        limitRetries(ONE_RETRY);
        net.servers.prefill();
        net.servers.decode();
        Wire client = net.sendRequest("/gen/", PROMPT);
        reject(net.nextCall());
        assertStreamsToEnd(net.nextCall(), client);
        net.assertQuiet();
    }

    /** Only an attempt that a server accepts is free of charge. */
    @Test
    void aPrefillThatIsResetIsChargedIfNoOtherServerAcceptsThePrompt() throws Exception {
        limitRetries(ONE_RETRY);
        net.servers.prefill();
        net.servers.decodeServers(2);
        Wire client = net.sendRequest("/gen/", PROMPT);
        net.nextCall().wire().reset();
        reject(net.nextCall());
        assertEquals(503, client.read().status());
        net.assertQuiet();
    }

    @Test
    void withoutARetryBudgetThePromptIsStillPrefilled() throws Exception {
        limitRetries(ForwarderFixture.NO_RETRIES);
        ScriptedServer prefill = net.servers.prefill();
        net.servers.decode();
        Wire client = sendPrefilled("/gen/", "h1");
        Call decodeCall = net.nextCall();
        assertIsDecode(decodeCall, prefill.addressText() + "/h1");
        assertStreamsToEnd(decodeCall, client);
        net.assertQuiet();
    }

    @Test
    void aMisdirectedDecodeIsRetriedAtAnotherServer() throws Exception {
        net.servers.decodeServers(2);
        Wire client = net.sendRequest("/gen/", PROMPT);
        Call first = net.nextCall();
        answer(first, "421 Misdirected Request", "", "");
        Call second = net.nextCall();
        assertNotSame(first.server(), second.server());
        assertStreamsToEnd(second, client);
        net.assertQuiet();
    }

    @Test
    void aDecodeThatIsResetBeforeItsStreamIsNotRetried() throws Exception {
        net.servers.decodeServers(2);
        Wire client = net.sendRequest("/gen/", PROMPT);
        net.nextCall().wire().reset();
        assertEquals(502, client.read().status());
        net.assertQuiet();
    }

    @ParameterizedTest
    @ValueSource(strings = {"500 Internal Server Error", "504 Gateway Timeout", "400 Bad Request"})
    void aFinalFailureIsRelayed(String status) throws Exception {
        net.servers.decode();
        Wire client = net.sendRequest("/gen/", PROMPT);
        answer(net.nextCall(), status, SEAL, "its own");
        Wire.Message response = client.read();
        assertEquals(status.substring(0, 3), Integer.toString(response.status()));
        assertEquals("its own", response.body());
        net.assertQuiet();
    }

    @ParameterizedTest
    @ValueSource(strings = {"503 Service Unavailable", "429 Too Many Requests"})
    void a503Or429WithoutTheNotExecutedMarkIsNotRelayed(String status) throws Exception {
        net.servers.decode();
        Wire client = net.sendRequest("/gen/", PROMPT);
        answer(net.nextCall(), status, "", "");
        assertEquals(502, client.read().status());
        net.assertQuiet();
    }

    @Test
    void aStreamWithoutASealIsAFailure() throws Exception {
        net.servers.decode();
        Wire client = net.sendRequest("/gen/", PROMPT);
        Call decodeCall = net.nextCall();
        decodeCall.wire().send("HTTP/1.1 200 OK\r\n" + idOf(decodeCall) + "Transfer-Encoding: chunked\r\n\r\n");
        decodeCall.wire().chunk(event(1));
        decodeCall.wire().lastChunk();
        assertEquals(502, client.read().status());
        net.assertQuiet();
    }

    // ---- deadline before the stream -------------------------------------------------------------------

    @Test
    void aDecodeInFlightAtItsDeadlineIsNotRejected() throws Exception {
        net.servers.decode();
        ForwarderFixture.InFlight request = net.sendUntilAtServer("/brief/", PROMPT);
        assertEquals(504, request.client().read().status());
        request.call().wire().awaitEnd();
        net.assertQuiet();
    }

    @Test
    void aPrefillInFlightAtItsDeadlineIsRejected() throws Exception {
        net.servers.prefill();
        net.servers.decode();
        ForwarderFixture.InFlight request = net.sendUntilAtServer("/brief/", PROMPT);
        assertIsPrefill(request.call());
        assertEquals(503, request.client().read().status(), "the request has not run");
        request.call().wire().awaitEnd();
        net.assertQuiet();
    }

    @Test
    void aDrainingServerGetsNoNewRequest() throws Exception {
        ScriptedServer draining = net.servers.decode();
        net.servers.drain(draining);
        Wire rejected = net.sendRequest("/gen/", PROMPT);
        assertEquals(503, rejected.read().status());
        ScriptedServer ready = net.servers.decode();
        Wire client = net.sendRequest("/gen/", PROMPT);
        Call decodeCall = net.nextCall();
        assertSame(ready, decodeCall.server());
        assertStreamsToEnd(decodeCall, client);
        net.assertQuiet();
        assertFalse(draining.connectionsWaiting() > 0);
    }
}
