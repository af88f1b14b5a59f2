package dewplank.dataplane;

import static dewplank.dataplane.CallFields.attemptId;
import static dewplank.dataplane.ClientRequests.HOST;
import static dewplank.dataplane.ClientRequests.request;
import static dewplank.dataplane.Expectations.assertRejected;
import static dewplank.dataplane.Expectations.assertServed;
import static dewplank.dataplane.ServerResponses.NOT_EXECUTED;
import static dewplank.dataplane.ServerResponses.SEAL;
import static dewplank.dataplane.ServerResponses.idOf;
import static dewplank.dataplane.ServerResponses.respond;
import static dewplank.dataplane.ServerResponses.sealedHead;
import static dewplank.dataplane.ServerResponses.serve;
import static dewplank.dataplane.TestConfiguration.PLAIN;
import static dewplank.dataplane.TestRoute.safeRoute;
import static dewplank.dataplane.TestRoute.unsafeRoute;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertNotSame;
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
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Races between two events on connections of plain routes, in either order: each client receives only the response to
 * its own request, and an unsafe request is never retried once a server may have read a part of it.
 */
class RequestRaceTest {
    private static final double REUSABLE_AFTER_MS = ForwarderFixture.REUSABLE_AFTER_MS;
    private static final int TIMEOUT_MS = 150;
    private static final int LONG_TIMEOUT_MS = 2_500; // long enough to receive a long body
    private static final int OVERDUE_AFTER_MS = 1_500; // 2.5 times the target latency
    private static final int LONG_BODY_BYTES = 16 << 20; // more than the socket buffers hold

    private ForwarderFixture fixture;

    @BeforeEach
    void setUp() throws Exception {
        fixture = ForwarderFixture.builder()
                .maxBodyBytes(4 * LONG_BODY_BYTES)
                .routes(
                        safeRoute("safe", 3),
                        unsafeRoute("once", 3),
                        safeRoute("quick", 2).withTargetLatency(OVERDUE_AFTER_MS * 2 / 5),
                        unsafeRoute("brief", 3).withTimeout(TIMEOUT_MS),
                        unsafeRoute("half", 3).withTimeout(LONG_TIMEOUT_MS),
                        safeRoute("briefly", 3).withTimeout(TIMEOUT_MS))
                .start();
    }

    @AfterEach
    void tearDown() throws IOException {
        fixture.close();
    }

    /** A reusable idle connection to the server, with the client whose request it carried. */
    private record IdleConnection(TestPeer client, Call first) {}

    private IdleConnection idleConnection(String target) throws Exception {
        TestPeer client = fixture.sendRequest(target);
        Call first = fixture.nextCall();
        assertServed(first, client, "first");
        fixture.waitOnLoop(REUSABLE_AFTER_MS);
        return new IdleConnection(client, first);
    }

    private Call sendOnIdleConnection(IdleConnection idle, String target) throws Exception {
        idle.client().send(request(target, "", "second"));
        Call second = fixture.nextCall();
        assertSame(idle.first().peer(), second.peer());
        return second;
    }

    private void assertNextRequestIsServed(TestPeer client, String target) throws Exception {
        client.send(request(target, "", ""));
        Call call = fixture.nextCall();
        assertServed(call, client, "next");
        fixture.assertNoOpenRequests();
    }

    // ---- surplus responses ----------------------------------------------------------------------------

    @ParameterizedTest
    @CsvSource({
        "/safe/, 200 OK",
        "/safe/, 404 Not Found",
        "/safe/, 500 Internal Server Error",
        "/once/, 200 OK",
        "/once/, 404 Not Found",
        "/once/, 500 Internal Server Error"
    })
    void aLateResponseOnAReusedConnectionIsDiscarded(String target, String status) throws Exception {
        fixture.servers.plain();
        IdleConnection idle = idleConnection(target);
        Call second = sendOnIdleConnection(idle, target);
        respond(idle.first(), status, SEAL, "to the first request");
        respond(second, "200 OK", SEAL, "own");
        assertEquals("own", idle.client().read().body(), target + status);
        fixture.assertNoOpenRequests();
    }

    /** The rejection belongs to the first request. The second one may run, so it is neither rejected nor retried. */
    @TestOnSafeAndUnsafeRoutes
    void aLateRejectionOnAReusedConnectionIsDiscarded(String target) throws Exception {
        fixture.servers.plain();
        IdleConnection idle = idleConnection(target);
        Call second = sendOnIdleConnection(idle, target);
        respond(idle.first(), "503 Service Unavailable", NOT_EXECUTED, "");
        respond(idle.first(), "421 Misdirected Request", "", "");
        assertServed(second, idle.client(), "own");
        fixture.assertNoOpenRequests();
    }

    /**
     * Servers echo the attempt id. A response without one belongs to another request, such as one that frees a handle.
     */
    @TestOnSafeAndUnsafeRoutes
    void aResponseWithoutAnAttemptIdIsDiscarded(String target) throws Exception {
        fixture.servers.plain();
        IdleConnection idle = idleConnection(target);
        Call second = sendOnIdleConnection(idle, target);
        second.peer().respond("404 Not Found", "", "without an id");
        second.peer().respond("200 OK", SEAL, "without an id");
        second.peer().respond("503 Service Unavailable", NOT_EXECUTED, "");
        assertServed(second, idle.client(), "own");
        fixture.assertNoOpenRequests();
    }

    @TestOnSafeAndUnsafeRoutes
    void theFirstOfTwoResponsesInOneSegmentIsRelayedAndTheConnectionCloses(String target) throws Exception {
        fixture.servers.plain();
        TestPeer client = fixture.sendRequest(target);
        Call call = fixture.nextCall();
        String own = sealedHead(call, "Content-Length: 1\r\n");
        call.peer().send(own + "1" + own + "2");
        assertEquals("1", client.read().body());
        call.peer().awaitClose();
        assertNextRequestIsServed(client, target);
    }

    /** Bytes after the first response are not joined with those of the second one. */
    @TestOnSafeAndUnsafeRoutes
    void surplusBytesAreNotParsedAsTheNextResponse(String target) throws Exception {
        fixture.servers.plain();
        IdleConnection idle = idleConnection(target);
        Call second = sendOnIdleConnection(idle, target);
        second.peer().send("surplus\r\n");
        if (target.equals("/once/")) {
            assertEquals(502, idle.client().read().status());
        } else {
            Call third = fixture.nextCall();
            assertNotSame(second.peer(), third.peer());
            assertServed(third, idle.client(), "own");
        }
        fixture.assertNoOpenRequests();
    }

    /**
     * The request is retried at the same server. A second response to the first attempt has the same attempt id and
     * must not be mistaken for the response to the retry, which may run.
     */
    @Test
    void aRetryAtTheSameServerUsesADedicatedConnection() throws Exception {
        ScriptedServer server = fixture.servers.plain();
        TestPeer other = fixture.sendRequest("/once/");
        Call earlier = fixture.nextCall();
        TestPeer client = fixture.sendRequest("/once/");
        Call first = fixture.nextCall();
        serve(earlier, ""); // its connection is now idle and reusable
        other.read();
        fixture.waitOnLoop(REUSABLE_AFTER_MS);
        respond(first, "421 Misdirected Request", "", "");
        Call retry = fixture.nextCall();
        assertSame(server, retry.server());
        assertNotSame(first.peer(), retry.peer());
        assertNotSame(earlier.peer(), retry.peer(), "the connection has carried another call");
        respond(first, "421 Misdirected Request", "", "");
        assertServed(retry, client, "own");
        fixture.assertNoOpenRequests();
    }

    // ---- resets ---------------------------------------------------------------------------------------

    @TestOnSafeAndUnsafeRoutes
    void aResetOfAnIdleConnectionDoesNotCountAsAnAttempt(String target) throws Exception {
        fixture.servers.plain();
        IdleConnection idle = idleConnection(target);
        idle.first().peer().reset();
        OnLoop.await(
                fixture.loop,
                () -> fixture.metadata.allServers().iterator().next().pool.size() == 0);
        idle.client().send(request(target, "", ""));
        Call second = fixture.nextCall();
        assertNotSame(idle.first().peer(), second.peer());
        assertServed(second, idle.client(), "own");
        fixture.assertNoOpenRequests();
    }

    @Test
    void aResetAfterTheRequestWasReadFailsAnUnsafeRequest() throws Exception {
        fixture.servers.plainServers(2);
        IdleConnection idle = idleConnection("/once/");
        idle.client().send(request("/once/", "", ""));
        fixture.nextCall().peer().reset();
        assertEquals(502, idle.client().read().status());
        fixture.assertNoOpenRequests();
        assertNextRequestIsServed(idle.client(), "/once/");
    }

    /**
     * The reset and the request arrive at the same time. If no byte of the request was sent, it is sent on another
     * connection or rejected. Otherwise the server may have read it, so it is neither rejected nor retried.
     */
    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void anUnsafeRequestThatRacesWithAResetIsSentAtMostOnce(boolean resetFirst) throws Exception {
        fixture.servers.plain();
        IdleConnection idle = idleConnection("/once/");
        OnLoop.run(fixture.loop, () -> {
            if (resetFirst) {
                idle.first().peer().reset();
            }
            idle.client().send(request("/once/", "", "racing"));
            if (!resetFirst) {
                idle.first().peer().reset();
            }
        });
        OnLoop.await(
                fixture.loop,
                () -> !fixture.servers.calls.isEmpty() || idle.client().hasBytes());
        Call sent = fixture.servers.calls.poll();
        boolean read = sent != null && sent.peer() == idle.first().peer();
        boolean elsewhere = sent != null && !read;
        if (elsewhere) {
            serve(sent, "own");
        }
        TestPeer.Message response = idle.client().read();
        boolean rejected = sent == null && response.status() == 503; // correct, as no server has read any of it
        assertEquals(elsewhere ? 200 : rejected ? 503 : 502, response.status());
        assertEquals(elsewhere ? "own" : "", response.body());
        fixture.assertNoOpenRequests();
    }

    @Test
    void anInterimResponseDoesNotMeanThatTheRequestDidNotRun() throws Exception {
        fixture.servers.plainServers(2);
        TestPeer client = fixture.sendRequest("/once/");
        Call call = fixture.nextCall();
        call.peer().send("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 102 Processing\r\n" + idOf(call) + "\r\n");
        call.peer().reset();
        assertEquals(502, client.read().status());
        fixture.assertNoOpenRequests();
    }

    /** A response without a length ends with the connection. */
    @TestOnSafeAndUnsafeRoutes
    void aResponseWithoutALengthIsCompleteAtEndOfStream(String target) throws Exception {
        fixture.servers.plainServers(2);
        TestPeer client = fixture.sendRequest(target);
        Call call = fixture.nextCall();
        call.peer().send(sealedHead(call, "") + "half");
        call.peer().close();
        assertEquals("half", client.read().body());
        fixture.assertNoOpenRequests();
    }

    @TestOnSafeAndUnsafeRoutes
    void aResponseWithoutALengthIsTruncatedAtAReset(String target) throws Exception {
        fixture.servers.plainServers(2);
        TestPeer client = fixture.sendRequest(target);
        Call call = fixture.nextCall();
        call.peer().send(sealedHead(call, "") + "half");
        call.peer().reset();
        if (target.equals("/safe/")) {
            assertServed(fixture.nextCall(), client, "own");
        } else {
            assertEquals(502, client.read().status());
        }
        fixture.assertNoOpenRequests();
    }

    // ---- early responses ------------------------------------------------------------------------------

    private TestPeer sendLongRequest(String target) throws IOException {
        TestPeer client = fixture.client();
        client.send(request(target, "", "x".repeat(LONG_BODY_BYTES)));
        return client;
    }

    /** A raw server responds to the request with this attempt id. */
    private static void respondWithId(TestPeer peer, String id, String status, String fields, String body)
            throws IOException {
        peer.respond(status, "X-Dewplank-Request-Attempt-Id: " + id + "\r\n" + fields, body);
    }

    /** The server continues to read: only the rest of the body may be sent on the connection. */
    @TestOnSafeAndUnsafeRoutes
    void anEarlyResponseIsRelayedAndItsConnectionIsNotReused(String target) throws Exception {
        try (ScriptedServer raw = ScriptedServer.withoutReading()) {
            fixture.servers.add(raw, PLAIN, null);
            TestPeer client = sendLongRequest(target);
            TestPeer peer = raw.nextConnection();
            String id = peer.readHead().header("X-Dewplank-Request-Attempt-Id");
            respondWithId(peer, id, "200 OK", SEAL, "early");
            assertEquals("early", client.read().body());
            client.send(request(target, "", ""));
            TestPeer next = raw.nextConnection();
            assertNotSame(peer, next);
            assertTrue(peer.readToEnd().chars().allMatch(sent -> sent == 'x'), "bytes other than those of the body");
            id = next.read().header("X-Dewplank-Request-Attempt-Id");
            respondWithId(next, id, "200 OK", "Connection: close\r\n" + SEAL, "own");
            assertEquals("own", client.read().body());
            fixture.assertNoOpenRequests();
        }
    }

    /** A long request is rejected before it was sent completely: the next server receives all of it, once. */
    @TestOnSafeAndUnsafeRoutes
    void aRequestThatIsRejectedEarlyIsRetriedWithItsCompleteBody(String target) throws Exception {
        try (ScriptedServer raw = ScriptedServer.withoutReading()) {
            fixture.servers.add(raw, PLAIN, null);
            TestPeer client = sendLongRequest(target);
            TestPeer peer = raw.nextConnection();
            String id = peer.readHead().header("X-Dewplank-Request-Attempt-Id");
            ScriptedServer other = fixture.servers.plain();
            respondWithId(peer, id, "503 Service Unavailable", NOT_EXECUTED, "");
            Call call = fixture.nextCall();
            assertSame(other, call.server());
            assertEquals(id, attemptId(call));
            assertEquals(LONG_BODY_BYTES, call.message().body().length());
            assertServed(call, client, "own");
            fixture.assertNoOpenRequests();
        }
    }

    /** Whether a connection to the server was opened before a response was received. */
    private boolean isConnectedBeforeResponse(ScriptedServer raw, TestPeer client) throws Exception {
        OnLoop.await(fixture.loop, () -> raw.pendingConnections() > 0 || client.hasBytes());
        return raw.pendingConnections() > 0;
    }

    /** The deadline passes while the body is being sent. The server may have started, so 503 would be incorrect. */
    @Test
    void anUnsafeRequestThatIsPartlySentAtItsDeadlineIsNotRejected() throws Exception {
        try (ScriptedServer raw = ScriptedServer.withoutReading()) {
            fixture.servers.add(raw, PLAIN, null);
            TestPeer client = sendLongRequest("/half/"); // its timeout counts from its first byte
            for (int sends = 1; !isConnectedBeforeResponse(raw, client); sends++) { // received after its deadline
                assertTrue(sends < ForwarderFixture.MAX_SENDS, "no request reached the server");
                assertRejected(client.read());
                client = sendLongRequest("/half/");
            }
            raw.nextConnection().readHead();
            assertEquals(504, client.read().status());
            fixture.assertNoOpenRequests();
        }
    }

    // ---- timeouts -------------------------------------------------------------------------------------

    /**
     * In either order the request receives one response, and the next request on the connection receives its own
     * response.
     */
    @ParameterizedTest
    @ValueSource(strings = {"/brief/", "/briefly/"})
    void aResponseThatRacesWithTheDeadlineLeadsToOneResponse(String target) throws Exception {
        fixture.servers.plain();
        ForwarderFixture.InFlight request = fixture.sendUntilAtServer(target, "");
        TestPeer client = request.client();
        Call call = request.call();
        fixture.runThenBlockLoop(2 * TIMEOUT_MS, () -> serve(call, "just in time"));
        TestPeer.Message response = client.read();
        assertTrue(
                response.status() == 200 && response.body().equals("just in time") || response.status() == 504,
                response.startLine());
        assertNextRequestIsServed(client, "/safe/");
    }

    @ParameterizedTest
    @ValueSource(strings = {"/brief/", "/briefly/"})
    void aResponseAfterTheDeadlineIsDiscarded(String target) throws Exception {
        fixture.servers.plain();
        ForwarderFixture.InFlight request = fixture.sendUntilAtServer(target, "");
        TestPeer client = request.client();
        Call call = request.call();
        assertEquals(504, client.read().status());
        call.peer().awaitClose();
        client.send(request("/safe/", "", ""));
        Call next = fixture.nextCall();
        assertNotSame(call.peer(), next.peer());
        assertServed(next, client, "own");
        fixture.assertNoOpenRequests();
    }

    /** A reset at the deadline: in either order, a request that may have run is not rejected. */
    @Test
    void aResetThatRacesWithTheDeadlineIsNotARejection() throws Exception {
        fixture.servers.plain();
        ForwarderFixture.InFlight request = fixture.sendUntilAtServer("/brief/", "");
        TestPeer client = request.client();
        Call call = request.call();
        fixture.runThenBlockLoop(2 * TIMEOUT_MS, () -> call.peer().reset());
        int status = client.read().status();
        assertTrue(status == 502 || status == 504, "status " + status);
        fixture.assertNoOpenRequests();
        client.send(request("/none/", "", "")); // the connection is still usable
        assertEquals(404, client.read().status());
        fixture.assertNoOpenRequests();
    }

    // ---- overdue responses ----------------------------------------------------------------------------

    /** A retry cancels the overdue attempt: its connection is closed and its response is discarded. */
    @Test
    void theResponseToACancelledAttemptIsDiscarded() throws Exception {
        fixture.servers.plainServers(2);
        fixture.openIdleConnections("/once/");
        TestPeer client = fixture.sendRequest("/quick/");
        Call first = fixture.nextCall();
        Call second = fixture.nextCall();
        assertEquals(attemptId(first), attemptId(second));
        first.peer().awaitClose();
        assertServed(second, client, "second");
        assertNextRequestIsServed(client, "/once/");
    }

    /**
     * The response arrives when it becomes overdue: one of the servers' responses is relayed, after two attempts at
     * most.
     */
    @Test
    void anOverdueTimerThatRacesWithTheResponseLeadsToOneResponse() throws Exception {
        fixture.servers.plainServers(2);
        fixture.openIdleConnections("/once/");
        TestPeer client = fixture.sendRequest("/quick/");
        Call first = fixture.nextCall();
        fixture.runThenBlockLoop(OVERDUE_AFTER_MS + REUSABLE_AFTER_MS, () -> serve(first, "first"));
        OnLoop.await(fixture.loop, () -> !fixture.servers.calls.isEmpty() || client.hasBytes());
        Call second = fixture.servers.calls.poll();
        if (second != null) {
            serve(second, "second");
        }
        assertEquals(second == null ? "first" : "second", client.read().body());
        assertNextRequestIsServed(client, "/once/");
    }

    /** The connection is reset when the response becomes overdue: there is one retry, not two. */
    @Test
    void anOverdueTimerThatRacesWithAResetLeadsToOneRetry() throws Exception {
        fixture.servers.plainServers(3);
        fixture.openIdleConnections("/once/");
        TestPeer client = fixture.sendRequest("/quick/");
        Call first = fixture.nextCall();
        fixture.runThenBlockLoop(
                OVERDUE_AFTER_MS + REUSABLE_AFTER_MS, () -> first.peer().reset());
        Call second = fixture.nextCall();
        assertNotSame(first.server(), second.server());
        assertServed(second, client, "own");
        fixture.assertNoOpenRequests();
    }

    @Test
    void anUnsafeRequestIsNotRetriedAfterADelayedClose() throws Exception {
        fixture.servers.plainServers(2);
        TestPeer client = fixture.sendRequest("/once/");
        Call call = fixture.nextCall();
        fixture.waitOnLoop(REUSABLE_AFTER_MS);
        call.peer().close();
        assertEquals(502, client.read().status());
        fixture.assertNoOpenRequests();
    }

    // ---- disconnects and pipelining -------------------------------------------------------------------

    /** A client disconnects within its response: the rest arrives on a connection that is not reused. */
    @TestOnSafeAndUnsafeRoutes
    void theRestOfADisconnectedClientsResponseIsDiscarded(String target) throws Exception {
        fixture.servers.plain();
        TestPeer disconnected = fixture.sendRequest(target);
        Call call = fixture.nextCall();
        call.peer().send(sealedHead(call, "Content-Length: 8\r\n") + "half");
        disconnected.close();
        call.peer().awaitClose();
        TestPeer client = fixture.sendRequest(target);
        Call next = fixture.nextCall();
        assertNotSame(call.peer(), next.peer());
        assertServed(next, client, "own");
        fixture.assertNoOpenRequests();
    }

    /** The outcome of a pipelined request does not affect the response to the next one. */
    @Test
    void pipelinedRequestsReceiveTheirOwnResponsesAfterAFailure() throws Exception {
        fixture.servers.plainServers(2);
        TestPeer client = fixture.client();
        client.send(request("/once/1", "", "")
                + request("/safe/2", "", "")
                + request("/none/3", "", "")
                + request("/once/4", "", ""));
        Call first = fixture.nextCall();
        assertEquals("/once/1", first.message().target());
        first.peer().reset();
        assertEquals(502, client.read().status());
        Call second = fixture.nextCall();
        assertEquals("/safe/2", second.message().target());
        second.peer().reset();
        Call retry = fixture.nextCall();
        assertEquals("/safe/2", retry.message().target());
        assertServed(retry, client, "2");
        assertEquals(404, client.read().status());
        Call fourth = fixture.nextCall();
        assertEquals("/once/4", fourth.message().target());
        assertNotEquals(attemptId(retry), attemptId(fourth));
        assertServed(fourth, client, "4");
        fixture.assertNoOpenRequests();
    }

    /** The response to a HEAD request states the length of a body that is not sent. */
    @Test
    void theResponseToAHeadRequestHasNoBodyOnEitherSide() throws Exception {
        fixture.servers.plain();
        TestPeer client = fixture.client();
        client.send("HEAD /safe/ HTTP/1.1\r\nHost: " + HOST + "\r\nX-Dewplank-Request-Attempt-Id: h1\r\n\r\n"
                + request("/once/", "", ""));
        Call head = fixture.nextCall();
        assertEquals("HEAD", head.message().method());
        head.peer().send(sealedHead(head, "Content-Length: 5\r\n"));
        TestPeer.Message response = client.readHead();
        assertEquals(200, response.status());
        assertEquals("h1", response.header("X-Dewplank-Request-Attempt-Id"));
        Call next = fixture.nextCall();
        assertServed(next, client, "own");
        fixture.assertNoOpenRequests();
    }
}
