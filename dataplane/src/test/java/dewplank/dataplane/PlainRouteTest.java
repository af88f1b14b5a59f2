package dewplank.dataplane;

import static dewplank.dataplane.CallFields.attemptId;
import static dewplank.dataplane.CallFields.kvFrom;
import static dewplank.dataplane.CallFields.remainingTimeMs;
import static dewplank.dataplane.CallFields.stage;
import static dewplank.dataplane.CallFields.targetInstance;
import static dewplank.dataplane.ClientRequests.HOST;
import static dewplank.dataplane.ClientRequests.headOfTwoByteBody;
import static dewplank.dataplane.ClientRequests.request;
import static dewplank.dataplane.Expectations.assertRejected;
import static dewplank.dataplane.Expectations.assertServed;
import static dewplank.dataplane.ServerResponses.NOT_EXECUTED;
import static dewplank.dataplane.ServerResponses.SEAL;
import static dewplank.dataplane.ServerResponses.reject;
import static dewplank.dataplane.ServerResponses.respond;
import static dewplank.dataplane.ServerResponses.sealedHead;
import static dewplank.dataplane.ServerResponses.serve;
import static dewplank.dataplane.TestConfiguration.PLAIN;
import static dewplank.dataplane.TestRoute.safeRoute;
import static dewplank.dataplane.TestRoute.unsafeRoute;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNotSame;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertSame;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dewplank.exchange.InboundConnection;
import dewplank.exchange.OnLoop;
import dewplank.exchange.ScriptedServer;
import dewplank.exchange.ScriptedServer.Call;
import dewplank.exchange.TestPeer;
import dewplank.membership.Member;
import java.io.IOException;
import java.util.List;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Requests on plain routes: what is forwarded, which requests are retried, and what the client receives. */
class PlainRouteTest {
    private static final double OVERDUE_TARGET_FACTOR = 2.5;
    /** Time for the response to reach the client before its own timeout. */
    private static final int RESPONSE_MARGIN_MS = 5;

    /** Much longer than the routes' timeouts, so that a pause of the machine cannot hide which of them was used. */
    private static final String LONG_REMAINING_TIME_MS = "60000";

    private static final int LONG_BODY_BYTES = 16 << 20;

    private ForwarderFixture fixture;

    @BeforeEach
    void setUp() throws Exception {
        fixture = ForwarderFixture.builder()
                .routes(
                        safeRoute("safe", 3),
                        unsafeRoute("once", 3),
                        safeRoute("two", 2),
                        safeRoute("quick", 2).withTargetLatency(20),
                        unsafeRoute("brief", 3).withTimeout(150),
                        safeRoute("briefly", 3).withTimeout(150))
                .start();
    }

    @AfterEach
    void tearDown() throws IOException {
        fixture.close();
    }

    // ---- forwarding ----------------------------------------------------------------------------------

    @Test
    void aRequestAndItsResponseAreForwardedUnchanged() throws Exception {
        ScriptedServer server = fixture.servers.plain();
        TestPeer client = fixture.client();
        client.send("PUT /safe/a%20b?c=d&e HTTP/1.1\r\nHost: H.example:80\r\nX-Dewplank-Request-Attempt-Id: q1\r\n"
                + "X-Dewplank-Remaining-Time-Ms: 5000\r\nX-Own: 1\r\nConnection: X-Hop\r\nX-Hop: 2\r\n"
                + "X-Dewplank-Target-Instance: i-77\r\nTransfer-Encoding: chunked\r\n\r\n"
                + "2\r\nhi\r\n3\r\n yo\r\n0\r\n\r\n");
        Call call = fixture.nextCall();
        assertEquals("PUT /safe/a%20b?c=d&e HTTP/1.1", call.message().startLine());
        assertEquals("hi yo", call.message().body());
        assertEquals("H.example:80", call.message().header("Host"));
        assertEquals("q1", attemptId(call));
        assertEquals("1", call.message().header("X-Own"));
        assertNull(call.message().header("X-Hop"));
        assertEquals(fixture.servers.id(server), targetInstance(call));
        assertEquals(1, call.message().count("X-Dewplank-Target-Instance"));
        assertEquals(1, call.message().count("X-Dewplank-Remaining-Time-Ms"));
        long left = remainingTimeMs(call);
        assertTrue(left > 0 && left <= 5_000, "left " + left);
        respond(call, "201 Created", SEAL + "X-Server: 3\r\nKeep-Alive: timeout=5\r\n", "made");
        TestPeer.Message response = client.read();
        assertEquals(201, response.status());
        assertEquals("made", response.body());
        assertEquals("s.1", response.header("X-Dewplank-Server-Seal"));
        assertEquals("q1", response.header("X-Dewplank-Request-Attempt-Id"));
        assertEquals("3", response.header("X-Server"));
        assertNull(response.header("Keep-Alive"));
        fixture.assertNoOpenRequests();
    }

    @Test
    void remainingTimeIsTheRoutesTimeoutIfThatIsShorter() throws Exception {
        fixture.servers.plain();
        double sentAt = fixture.now();
        fixture.client().send(request("/safe/", "", LONG_REMAINING_TIME_MS, "hi"));
        long left = remainingTimeMs(fixture.nextCall());
        double elapsedMs = fixture.now() - sentAt;
        assertTrue(left <= TestRoute.DEFAULT_TIMEOUT_MS, "left " + left);
        assertTrue(
                left > TestRoute.DEFAULT_TIMEOUT_MS - RESPONSE_MARGIN_MS - 1 - elapsedMs,
                left + " left after " + elapsedMs);
        TestPeer noTime = fixture.client();
        noTime.send("GET /safe/ HTTP/1.1\r\nHost: " + HOST + "\r\nX-Dewplank-Remaining-Time-Ms: soon\r\n\r\n");
        left = remainingTimeMs(fixture.nextCall());
        assertTrue(left > 150 && left <= TestRoute.DEFAULT_TIMEOUT_MS, "left " + left);
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "400 Bad Request",
                "404 Not Found",
                "409 Conflict",
                "500 Internal Server Error",
                "504 Gateway Timeout"
            })
    void aFinalFailureIsRelayed(String status) throws Exception {
        fixture.servers.plain();
        TestPeer client = fixture.sendRequest("/once/");
        respond(fixture.nextCall(), status, SEAL + "X-Why: x\r\n", "its own");
        TestPeer.Message response = client.read();
        assertEquals(status.substring(0, 3), Integer.toString(response.status()));
        assertEquals("its own", response.body());
        assertEquals("x", response.header("X-Why"));
        fixture.assertNoOpenRequests();
    }

    @Test
    void theLastAttemptsFailureIsRelayed() throws Exception {
        fixture.servers.plainServers(2);
        TestPeer client = fixture.sendRequest("/two/");
        respond(fixture.nextCall(), "500 Internal Server Error", SEAL, "first");
        respond(fixture.nextCall(), "500 Internal Server Error", SEAL, "second");
        TestPeer.Message response = client.read();
        assertEquals(500, response.status());
        assertEquals("second", response.body());
        fixture.assertNoOpenRequests();
    }

    @ParameterizedTest
    @ValueSource(strings = {"/", "/none/", "/safe", "/safer/x"})
    void withoutARouteForItsPathARequestReceives404(String target) throws Exception {
        fixture.servers.plain();
        assertEquals(404, fixture.sendRequest(target).read().status(), target);
        fixture.assertNoOpenRequests();
    }

    @Test
    void withoutARouteForItsHostARequestReceives404() throws Exception {
        fixture.servers.plain();
        TestPeer client = fixture.client();
        client.send("GET /safe/ HTTP/1.1\r\nHost: other.example\r\n\r\nGET /safe/ HTTP/1.1\r\n\r\n");
        assertEquals(404, client.read().status());
        assertEquals(404, client.read().status());
        fixture.assertNoOpenRequests();
    }

    @Test
    void requestsAreRejectedWithoutAConfigurationOrAnEndpointList() throws Exception {
        try (ForwarderFixture empty = ForwarderFixture.builder().start()) {
            assertRejected(empty.sendRequest("/safe/").read());
            empty.routes(safeRoute("safe", 3));
            assertRejected(empty.sendRequest("/safe/").read());
            empty.servers.publish(); // an empty endpoint list counts as a list
            assertRejected(empty.sendRequest("/safe/").read());
            assertEquals(404, empty.sendRequest("/none/").read().status());
            empty.servers.plain();
            TestPeer client = empty.sendRequest("/safe/");
            serve(empty.nextCall(), "");
            assertEquals(200, client.read().status());
            empty.assertNoOpenRequests();
        }
    }

    // ---- responses that count as failures ------------------------------------------------------------

    @ParameterizedTest
    @ValueSource(strings = {"", SEAL + "Content-Encoding: gzip\r\n", SEAL + "Content-Encoding: identity\r\n"})
    void aSuccessWithoutASealOrWithAContentEncodingIsAFailure(String fields) throws Exception {
        fixture.servers.plainServers(2);
        TestPeer client = fixture.sendRequest("/safe/");
        respond(fixture.nextCall(), "200 OK", fields, "not the server's");
        assertServed(fixture.nextCall(), client, "own");
        TestPeer unsafe = fixture.sendRequest("/once/");
        respond(fixture.nextCall(), "200 OK", fields, "not the server's");
        assertEquals(502, unsafe.read().status());
        fixture.assertNoOpenRequests();
    }

    @Test
    void aTruncatedSuccessIsAFailure() throws Exception {
        fixture.servers.plain();
        TestPeer client = fixture.sendRequest("/once/");
        Call call = fixture.nextCall();
        call.peer().send(sealedHead(call, "Content-Length: 9\r\n") + "12345678");
        call.peer().close();
        assertEquals(502, client.read().status());
        fixture.assertNoOpenRequests();
    }

    @Test
    void aResponseToAnotherAttemptIdIsDiscarded() throws Exception {
        fixture.servers.plain();
        TestPeer client = fixture.sendRequest("/once/");
        Call call = fixture.nextCall();
        call.peer().respond("200 OK", "X-Dewplank-Request-Attempt-Id: another\r\n" + SEAL, "to another attempt");
        call.peer().respond("503 Service Unavailable", "X-Dewplank-Request-Attempt-Id: another\r\n" + NOT_EXECUTED, "");
        assertServed(call, client, "own");
        fixture.assertNoOpenRequests();
    }

    /** A second response arrives on the idle connection, so the next request uses another connection. */
    @Test
    void aSecondResponseOnAnIdleConnectionClosesIt() throws Exception {
        fixture.servers.plain();
        TestPeer client = fixture.sendRequest("/once/");
        Call idle = fixture.nextCall();
        assertServed(idle, client, "first");
        serve(idle, "a second response");
        idle.peer().awaitClose();
        client.send(request("/once/", "", ""));
        Call next = fixture.nextCall();
        assertNotSame(idle.peer(), next.peer());
        assertServed(next, client, "second");
        fixture.assertNoOpenRequests();
    }

    @Test
    void anIdleConnectionIsReusedAfterTheReuseDelay() throws Exception {
        fixture.servers.plain();
        TestPeer client = fixture.sendRequest("/once/");
        Call idle = fixture.nextCall();
        serve(idle, "first");
        client.read();
        fixture.waitOnLoop(30);
        client.send(request("/once/", "", ""));
        Call next = fixture.nextCall();
        assertSame(idle.peer(), next.peer());
        assertServed(next, client, "second");
        fixture.assertNoOpenRequests();
    }

    // ---- retries -------------------------------------------------------------------------------------

    /** How a server fails an attempt that is then retried. */
    private enum AttemptFault {
        RESET,
        SERVER_FAILURE,
        REJECTED,
        MISDIRECTED;

        void inject(Call attempt) throws IOException {
            switch (this) {
                case RESET -> attempt.peer().reset();
                case SERVER_FAILURE -> respond(attempt, "500 Internal Server Error", SEAL, "broken");
                case REJECTED -> reject(attempt);
                case MISDIRECTED -> respond(attempt, "421 Misdirected Request", "", "");
                default -> throw new AssertionError(this);
            }
        }
    }

    /** The retry has the attempt id of the request and the instance id of the server that it is sent to. */
    @ParameterizedTest
    @CsvSource({
        "/safe/, RESET",
        "/safe/, SERVER_FAILURE",
        "/safe/, REJECTED",
        "/once/, REJECTED",
        "/safe/, MISDIRECTED",
        "/once/, MISDIRECTED"
    })
    void aRequestIsRetriedAtAnotherServer(String target, AttemptFault fault) throws Exception {
        fixture.servers.plainServers(2);
        TestPeer client = fixture.sendRequest(target);
        Call first = fixture.nextCall();
        fault.inject(first);
        Call second = fixture.nextCall();
        assertNotSame(first.server(), second.server());
        assertEquals(attemptId(first), attemptId(second));
        assertEquals(fixture.servers.id(second.server()), targetInstance(second));
        assertServed(second, client, "served");
        fixture.assertNoOpenRequests();
    }

    @Test
    void aSafeRequestIsRetriedWhenItsAnswerIsOverdue() throws Exception {
        fixture.servers.plainServers(2);
        fixture.openIdleConnections("/once/");
        TestPeer client = fixture.sendRequest("/quick/");
        Call first = fixture.nextCall();
        Call second = fixture.nextCall();
        assertNotSame(first.server(), second.server());
        first.peer().awaitClose();
        assertServed(second, client, "served");
        fixture.assertNoOpenRequests();
    }

    @Test
    void anUnsafeRequestIsNotRetriedAfterAReset() throws Exception {
        fixture.servers.plainServers(2);
        TestPeer client = fixture.sendRequest("/once/");
        fixture.nextCall().peer().reset();
        assertEquals(502, client.read().status());
        fixture.assertNoOpenRequests();
    }

    @Test
    void anUnsafeRequestIsNotRetriedAfterAMalformedResponse() throws Exception {
        fixture.servers.plainServers(2);
        TestPeer client = fixture.sendRequest("/once/");
        fixture.nextCall().peer().send("malformed response\r\n");
        assertEquals(502, client.read().status());
        fixture.assertNoOpenRequests();
    }

    @ParameterizedTest
    @ValueSource(
            strings = {"503 Service Unavailable", "429 Too Many Requests", "502 Bad Gateway", "408 Request Timeout"})
    void anUnsafeRequestIsNotRetriedAfterAFailureWithoutTheNotExecutedMark(String status) throws Exception {
        fixture.servers.plainServers(2);
        TestPeer client = fixture.sendRequest("/once/");
        respond(fixture.nextCall(), status, "", "");
        assertEquals(502, client.read().status(), status);
        fixture.assertNoOpenRequests();
    }

    @Test
    void anUnsafeRequestThatEveryServerRejectsIsRejected() throws Exception {
        fixture.servers.plainServers(2);
        TestPeer client = fixture.sendRequest("/once/");
        reject(fixture.nextCall());
        reject(fixture.nextCall());
        OnLoop.await(fixture.loop, () -> client.hasBytes() || !fixture.servers.calls.isEmpty());
        if (!fixture.servers.calls.isEmpty()) { // on a slow machine the first server's backoff of 40 ms has expired
            reject(fixture.nextCall());
        }
        assertRejected(client.read());
        fixture.assertNoOpenRequests();
    }

    @Test
    void anUnsafeRequestThatMayHaveRunIsNeverRejected() throws Exception {
        fixture.servers.plainServers(2);
        TestPeer client = fixture.sendRequest("/once/");
        reject(fixture.nextCall());
        fixture.nextCall().peer().reset();
        assertEquals(502, client.read().status());
        fixture.assertNoOpenRequests();
    }

    @Test
    void anUnreachableServerDoesNotCountAsAnAttempt() throws Exception {
        fixture.servers.refusingPlain();
        ScriptedServer there = fixture.servers.plain();
        for (int request = 0; request < 6; request++) {
            TestPeer client = fixture.sendRequest("/once/");
            Call call = fixture.nextCall();
            assertSame(there, call.server());
            assertServed(call, client, "served");
        }
        fixture.assertNoOpenRequests();
    }

    @Test
    void aRequestIsRejectedIfNoServerIsReachable() throws Exception {
        fixture.servers.refusingPlain();
        fixture.servers.refusingPlain();
        assertRejected(fixture.sendRequest("/once/").read());
        assertRejected(fixture.sendRequest("/safe/").read());
        fixture.assertNoOpenRequests();
    }

    @Test
    void attemptsAreBoundedByTheRoutesMaxAttempts() throws Exception {
        fixture.servers.plainServers(3);
        TestPeer client = fixture.sendRequest("/two/");
        fixture.nextCall().peer().reset();
        fixture.nextCall().peer().reset();
        assertEquals(502, client.read().status());
        fixture.assertNoOpenRequests();
        TestPeer rejected = fixture.sendRequest("/two/");
        reject(fixture.nextCall());
        reject(fixture.nextCall());
        assertRejected(rejected.read());
        fixture.assertNoOpenRequests();
    }

    private static TestPeer sendLongRequest(ForwarderFixture fixture, String target) throws IOException {
        TestPeer client = fixture.client();
        client.send(request(target, "", "x".repeat(LONG_BODY_BYTES)));
        return client;
    }

    /** Resets each connection within the body of a request, and counts the connections on which a head was received. */
    private static AtomicInteger resetConnectionsWithinBodies(ScriptedServer raw) {
        AtomicInteger broken = new AtomicInteger();
        Thread breaker = new Thread(() -> {
            try {
                while (true) {
                    TestPeer peer = raw.nextConnection();
                    peer.readHead();
                    broken.incrementAndGet();
                    peer.reset();
                }
            } catch (IOException | InterruptedException | AssertionError e) {
                // the test is over
            }
        });
        breaker.setDaemon(true);
        breaker.start();
        return broken;
    }

    /**
     * A server may run a request before it has read all of a long body, so a request that is reset within its body may
     * have run.
     */
    @Test
    void anUnsafeRequestThatIsResetWithinItsBodyIsNotRetried() throws Exception {
        try (ScriptedServer raw = ScriptedServer.withoutReading()) {
            fixture.servers.add(raw, PLAIN, null);
            fixture.routes(2 * LONG_BODY_BYTES, unsafeRoute("once", 3));
            AtomicInteger broken = resetConnectionsWithinBodies(raw);
            assertEquals(502, sendLongRequest(fixture, "/once/").read().status());
            fixture.assertNoOpenRequests();
            assertEquals(1, broken.get());
        }
    }

    @Test
    void aSafeRequestThatIsResetWithinItsBodyIsRetriedWithinMaxAttempts() throws Exception {
        try (ScriptedServer raw = ScriptedServer.withoutReading()) {
            fixture.servers.add(raw, PLAIN, null);
            fixture.routes(2 * LONG_BODY_BYTES, safeRoute("safe", 3));
            AtomicInteger broken = resetConnectionsWithinBodies(raw);
            assertEquals(502, sendLongRequest(fixture, "/safe/").read().status());
            fixture.assertNoOpenRequests();
            assertTrue(broken.get() >= 1 && broken.get() <= 3, broken + " connections");
        }
    }

    // ---- budget ---------------------------------------------------------------------------------------

    @Test
    void withoutARetryBudgetNothingIsRetried() throws Exception {
        try (ForwarderFixture withoutRetries = ForwarderFixture.builder()
                .retryLimits(ForwarderFixture.NO_RETRIES)
                .routes(safeRoute("safe", 3), unsafeRoute("once", 3))
                .start()) {
            withoutRetries.servers.plainServers(2);
            TestPeer broken = withoutRetries.sendRequest("/safe/");
            withoutRetries.nextCall().peer().reset();
            assertEquals(502, broken.read().status());
            TestPeer rejected = withoutRetries.sendRequest("/once/");
            reject(withoutRetries.nextCall());
            assertRejected(rejected.read());
            withoutRetries.assertNoOpenRequests();
        }
    }

    /** If the budget allows no retry, the only attempt is not cancelled. */
    @Test
    void withoutARetryBudgetAnOverdueAttemptContinues() throws Exception {
        try (ForwarderFixture withoutRetries = ForwarderFixture.builder()
                .retryLimits(ForwarderFixture.NO_RETRIES)
                .routes(safeRoute("quick", 3).withTargetLatency(20))
                .start()) {
            withoutRetries.servers.plainServers(2);
            TestPeer client = withoutRetries.sendRequest("/quick/");
            Call call = withoutRetries.nextCall();
            withoutRetries.waitOnLoop(OVERDUE_TARGET_FACTOR * 20 + 30);
            serve(call, "slow");
            TestPeer.Message response = client.read();
            assertEquals(200, response.status());
            assertEquals("slow", response.body());
            withoutRetries.assertNoOpenRequests();
        }
    }

    /**
     * Only the ratio of the data plane's own requests applies: the slack is unused until the fleet's size is stable.
     */
    @Test
    void retriesAreBoundedByTheRetryBudget() throws Exception {
        try (ForwarderFixture withFewRetries = ForwarderFixture.builder()
                .retryLimits(new RetryBudgets.Limits(0.5, 600_000, 5))
                .routes(safeRoute("safe", 2))
                .start()) {
            withFewRetries.servers.plainServers(3);
            int sends = 0;
            for (int request = 0; request < 6; request++) {
                TestPeer client = withFewRetries.sendRequest("/safe/");
                respond(withFewRetries.nextCall(), "500 Internal Server Error", SEAL, "");
                sends++;
                OnLoop.await(
                        withFewRetries.loop,
                        () -> withFewRetries.forwarder.openRequests() == 0 || !withFewRetries.servers.calls.isEmpty());
                if (!withFewRetries.servers.calls.isEmpty()) {
                    serve(withFewRetries.nextCall(), "");
                    sends++;
                }
                assertNotNull(client.read());
            }
            assertTrue(sends > 6 && sends <= 6 + 0.5 * 6, "sends " + sends);
            withFewRetries.assertNoOpenRequests();
        }
    }

    /** The fleet shares the slack. A data plane that has just discovered a peer may discover more shortly after. */
    @Test
    void theBudgetsSlackIsUnusedUntilTheFleetsSizeIsStable() throws Exception {
        try (ForwarderFixture alone = ForwarderFixture.builder()
                .retryLimits(new RetryBudgets.Limits(0, 600_000, 1_000))
                .routes(safeRoute("safe", 2))
                .start()) {
            alone.servers.plainServers(2);
            Member peer = new Member("edge-1", Member.DATA, "127.0.0.1:1", ScriptedFleet.ZONE, 1);
            for (List<Member> members : List.of(List.<Member>of(), List.of(peer))) {
                OnLoop.run(alone.loop, () -> {
                    alone.metadata.updateMembers(members);
                    alone.forwarder.onFleetChanged();
                });
                TestPeer client = alone.sendRequest("/safe/");
                respond(alone.nextCall(), "500 Internal Server Error", SEAL, "");
                assertEquals(502, client.read().status());
            }
            alone.assertNoOpenRequests();
        }
    }

    // ---- deadlines ------------------------------------------------------------------------------------

    private void awaitHalfRead() throws Exception {
        OnLoop.await(fixture.loop, () -> fixture.forwarder.connections().stream()
                .anyMatch(InboundConnection::hasPartialRequestWithHead));
    }

    /** The client counts its timeout from the first byte that it sends, and servers receive the remaining time. */
    @Test
    void theDeadlineCountsFromTheFirstByte() throws Exception {
        fixture.servers.plain();
        TestPeer client = fixture.client();
        client.send(headOfTwoByteBody("/once/", 4_000));
        awaitHalfRead();
        fixture.waitOnLoop(300);
        client.send("hi");
        Call call = fixture.nextCall();
        long remainingMs = remainingTimeMs(call);
        assertTrue(remainingMs > 0 && remainingMs <= 3_700, "remaining time " + remainingMs);
        serve(call, "");
        assertEquals(200, client.read().status());
        fixture.assertNoOpenRequests();
    }

    @Test
    void aRequestThatIsCompleteAfterItsDeadlineIsRejectedImmediately() throws Exception {
        fixture.servers.plain();
        TestPeer client = fixture.client();
        client.send(headOfTwoByteBody("/brief/", 9_000));
        awaitHalfRead();
        fixture.waitOnLoop(160);
        client.send("hi");
        assertRejected(client.read());
        fixture.assertNoOpenRequests();
    }

    @ParameterizedTest
    @ValueSource(strings = {"NaN", "soon", ""})
    void aMalformedRemainingTimeCountsAsAbsent(String remainingTime) throws Exception {
        fixture.servers.plain();
        TestPeer client = fixture.client();
        client.send(request("/once/", "", remainingTime, "hi"));
        Call call = fixture.nextCall();
        long remainingMs = remainingTimeMs(call);
        assertTrue(remainingMs > 0 && remainingMs < 8_000, "remaining time " + remainingMs);
        serve(call, "");
        assertEquals(200, client.read().status());
        fixture.assertNoOpenRequests();
    }

    /** The stated time never exceeds the remaining time, so it is shorter for the later attempt. */
    @Test
    void aRetryCarriesTheRemainingTimeOfItsOwnStart() throws Exception {
        fixture.servers.plainServers(2);
        TestPeer client = fixture.sendRequest("/safe/");
        Call first = fixture.nextCall();
        fixture.waitOnLoop(200);
        respond(first, "500 Internal Server Error", SEAL, "");
        Call second = fixture.nextCall();
        long before = remainingTimeMs(first);
        long after = remainingTimeMs(second);
        assertTrue(before < 8_000 && after <= before - 200, before + ", then " + after);
        serve(second, "");
        assertEquals(200, client.read().status());
        fixture.assertNoOpenRequests();
    }

    /** The request has reached a server and may run there, but a 503 would state that it never will. */
    @Test
    void anUnsafeRequestInFlightAtItsDeadlineIsNotRejected() throws Exception {
        fixture.servers.plain();
        ForwarderFixture.InFlight request = fixture.sendUntilAtServer("/brief/", "");
        assertEquals(504, request.client().read().status());
        request.call().peer().awaitClose();
        fixture.assertNoOpenRequests();
    }

    @Test
    void aSafeRequestInFlightAtItsDeadlineFails() throws Exception {
        fixture.servers.plain();
        ForwarderFixture.InFlight request = fixture.sendUntilAtServer("/briefly/", "");
        assertEquals(504, request.client().read().status());
        request.call().peer().awaitClose();
        fixture.assertNoOpenRequests();
    }

    @Test
    void aRequestThatIsUnsentAtItsDeadlineIsRejected() throws Exception {
        try (ScriptedServer late = ScriptedServer.withDelayedAccept(new LinkedBlockingQueue<>())) {
            fixture.servers.add(late, PLAIN, null);
            assertRejected(fixture.sendRequest("/brief/").read());
            fixture.assertNoOpenRequests();
        }
    }

    // ---- clients --------------------------------------------------------------------------------------

    @TestOnSafeAndUnsafeRoutes
    void aDisconnectedClientsAttemptIsCancelled(String target) throws Exception {
        fixture.servers.plain();
        TestPeer client = fixture.sendRequest(target);
        Call call = fixture.nextCall();
        client.close();
        call.peer().awaitClose();
        fixture.assertNoOpenRequests();
    }

    @Test
    void aClientThatDisconnectsWithinAResponseCancelsItsAttempt() throws Exception {
        fixture.servers.plain();
        TestPeer client = fixture.sendRequest("/safe/");
        Call call = fixture.nextCall();
        call.peer().send(sealedHead(call, "Content-Length: 9\r\n") + "1234");
        client.close();
        call.peer().awaitClose();
        fixture.assertNoOpenRequests();
    }

    /** The client's disconnect and the server's reset arrive at the same time and are handled in either order. */
    @Test
    void aClientsDisconnectThatRacesWithAServersResetLeavesNothingOpen() throws Exception {
        fixture.servers.plainServers(2);
        TestPeer client = fixture.sendRequest("/safe/");
        Call call = fixture.nextCall();
        OnLoop.run(fixture.loop, () -> {
            client.close();
            call.peer().reset();
        });
        fixture.awaitNoOpenRequest();
        while (!fixture.servers.calls.isEmpty()) {
            fixture.nextCall().peer().awaitClose();
        }
        fixture.assertNoOpenRequests();
    }

    @Test
    void pipelinedRequestsAreServedInOrder() throws Exception {
        fixture.servers.plain();
        TestPeer client = fixture.client();
        client.send(request("/once/1", "", "") + request("/once/2", "", ""));
        Call first = fixture.nextCall();
        assertEquals("/once/1", first.message().target());
        assertTrue(fixture.servers.calls.isEmpty());
        assertServed(first, client, "1");
        Call second = fixture.nextCall();
        assertEquals("/once/2", second.message().target());
        assertServed(second, client, "2");
        fixture.assertNoOpenRequests();
    }

    @Test
    void aBodyOverMaxBodyBytesReceives413() throws Exception {
        fixture.servers.plain();
        fixture.routes(10, unsafeRoute("once", 1));
        TestPeer tooLong = fixture.client();
        tooLong.send(request("/once/", "", "12345678901"));
        assertEquals(413, tooLong.read().status());
        TestPeer fits = fixture.client();
        fits.send(request("/once/", "", "1234567890"));
        serve(fixture.nextCall(), "");
        assertEquals(200, fits.read().status());
        fixture.assertNoOpenRequests();
    }

    /** The limit of a later configuration applies to a connection that was opened under an earlier one. */
    @Test
    void maxBodyBytesOfTheConfigurationInForceApplies() throws Exception {
        fixture.servers.plain();
        fixture.routes(10, unsafeRoute("once", 1));
        TestPeer client = fixture.client();
        client.send(request("/once/", "", "1234567890"));
        serve(fixture.nextCall(), "");
        assertEquals(200, client.read().status());
        fixture.routes(20, unsafeRoute("once", 1));
        client.send(request("/once/", "", "12345678901234567890"));
        OnLoop.await(fixture.loop, () -> !fixture.servers.calls.isEmpty() || fixture.forwarder.openConnections() == 0);
        assertFalse(fixture.servers.calls.isEmpty(), "rejected by the limit of the old configuration");
        serve(fixture.nextCall(), "");
        assertEquals(200, client.read().status());
        fixture.assertNoOpenRequests();
    }

    /** GenerationTest tests the requests in which the data plane sets these fields. */
    @Test
    void aPlainRequestCarriesNoStageAndNoKvHandle() throws Exception {
        fixture.servers.plain();
        TestPeer client =
                fixture.sendRequest("/once/", "X-Dewplank-Processing-Stage: prefill\r\nKv-From: 10.0.0.1:80/h\r\n");
        Call call = fixture.nextCall();
        assertNull(stage(call));
        assertNull(kvFrom(call));
        serve(call, "");
        assertEquals(200, client.read().status());
        fixture.assertNoOpenRequests();
    }

    /** A request that may have run fails with 502; a request that was not sent is rejected with 503. */
    @Test
    void openRequestsAreEndedAtTermination() throws Exception {
        try (ForwarderFixture unready = ForwarderFixture.builder().start()) {
            TestPeer queued = unready.sendRequest("/once/");
            OnLoop.await(unready.loop, () -> unready.forwarder.openRequests() == 1);
            OnLoop.run(unready.loop, unready.forwarder::respondToAll);
            assertEquals(503, queued.read().status());
            unready.assertNoOpenRequests();
        }
        fixture.servers.plain();
        TestPeer client = fixture.sendRequest("/once/");
        Call call = fixture.nextCall();
        OnLoop.run(fixture.loop, fixture.forwarder::respondToAll);
        assertEquals(502, client.read().status());
        call.peer().awaitClose();
        fixture.assertNoOpenRequests();
    }

    @Test
    void aDrainingForwarderClosesConnectionsAfterTheirResponses() throws Exception {
        fixture.servers.plain();
        TestPeer client = fixture.sendRequest("/once/");
        Call call = fixture.nextCall();
        OnLoop.run(fixture.loop, fixture.forwarder::close);
        serve(call, "last");
        TestPeer.Message response = client.read();
        assertEquals("last", response.body());
        assertEquals("close", response.header("Connection"));
        assertNull(client.read());
        OnLoop.await(fixture.loop, () -> fixture.forwarder.openConnections() == 0);
        fixture.assertNoOpenRequests();
    }

    /** A request that arrives while the loop stalls across the end of the drain's first phase was never read. */
    @Test
    void aRequestThatArrivesDuringAStallOfTheDrainIsServed() throws Exception {
        fixture.servers.plain();
        TestPeer client = fixture.sendRequest("/once/");
        serve(fixture.nextCall(), "first");
        assertEquals("first", client.read().body());
        DrainSchedule schedule = new DrainSchedule(1_000);
        GracefulShutdown shutdown =
                new GracefulShutdown(fixture.loop, fixture.forwarder, fixture.listener, schedule, () -> {});
        Thread drain = new Thread(() -> {
            try {
                shutdown.run();
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        });
        drain.start();
        OnLoop.await(fixture.loop, shutdown::isStarted);
        fixture.loop.after(schedule.acceptMs() - 60, () -> {
            sendAndStall(client);
        });
        serve(fixture.nextCall(), "second");
        assertEquals("second", client.read().body());
        drain.join();
    }

    private static void sendAndStall(TestPeer client) {
        try {
            client.send(ClientRequests.request("/once/", "", ""));
            Thread.sleep(200);
        } catch (IOException | InterruptedException e) {
            throw new AssertionError(e);
        }
    }
}
