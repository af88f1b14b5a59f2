package dewplank.dataplane;

import static dewplank.dataplane.Expectations.assertAborted;
import static dewplank.dataplane.Expectations.assertServed;
import static dewplank.dataplane.Expectations.assertStreamed;
import static dewplank.dataplane.TestConfiguration.PLAIN;
import static dewplank.dataplane.TestRoute.safeRoute;
import static dewplank.dataplane.TestRoute.streamingRoute;
import static dewplank.dataplane.TestRoute.unsafeRoute;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dewplank.exchange.ConnectionEnd;
import dewplank.exchange.MalformedResponse;
import dewplank.exchange.PartialResponses;
import dewplank.exchange.ScriptedServer;
import dewplank.exchange.ScriptedServer.Call;
import dewplank.exchange.TestPeer;
import java.io.IOException;
import java.util.List;
import java.util.stream.IntStream;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.MethodSource;

/** Responses of servers that are malformed or end early: clients never receive them as responses. */
class BrokenResponseTest {
    /** More than the system buffers for a server that does not read. */
    private static final int LONG_BODY_BYTES = 16 << 20;

    /** Responses of this size are relayed as they arrive. */
    private static final int RELAYED_BYTES = 300_000;

    private static final int REPETITIONS = 6;

    private ForwarderFixture fixture;

    @BeforeEach
    void setUp() throws Exception {
        fixture = ForwarderFixture.builder()
                .withoutHedging()
                .maxBodyBytes(2 * LONG_BODY_BYTES)
                .routes(safeRoute("safe", 2), unsafeRoute("once", 2), streamingRoute("gen", 3))
                .start();
    }

    @AfterEach
    void tearDown() throws IOException {
        fixture.close();
    }

    // ---- responses that end before their request was sent ---------------------------------------------

    private TestPeer sendLongRequest(String target) throws IOException {
        TestPeer client = fixture.client();
        client.send(ClientRequests.request(target, "", "x".repeat(LONG_BODY_BYTES)));
        return client;
    }

    /** Reads the head of the next request, responds without a length, and ends the connection. */
    private static void respondEarly(ScriptedServer raw, ConnectionEnd connectionEnd) throws Exception {
        TestPeer peer = raw.nextConnection();
        String id = peer.readHead().header("X-Dewplank-Request-Attempt-Id");
        peer.send("HTTP/1.1 200 OK\r\nX-Dewplank-Request-Attempt-Id: " + id + "\r\n" + ServerResponses.SEAL
                + "\r\npart of");
        connectionEnd.apply(peer);
    }

    @ParameterizedTest
    @EnumSource(ConnectionEnd.class)
    void anEarlyResponseToAnUnsafeRequestThatEndsEarlyIsNotRelayed(ConnectionEnd connectionEnd) throws Exception {
        try (ScriptedServer raw = ScriptedServer.withoutReading()) {
            fixture.servers.add(raw, PLAIN, null);
            for (int repetition = 0; repetition < REPETITIONS; repetition++) {
                TestPeer client = sendLongRequest("/once/");
                respondEarly(raw, connectionEnd);
                TestPeer.Message response = client.read();
                assertEquals(502, response.status(), response + " in repetition " + repetition);
            }
            fixture.assertNoOpenRequests();
        }
    }

    @ParameterizedTest
    @EnumSource(ConnectionEnd.class)
    void aSafeRequestIsRetriedAfterAnEarlyResponseThatEndsEarly(ConnectionEnd connectionEnd) throws Exception {
        try (ScriptedServer raw = ScriptedServer.withoutReading()) {
            fixture.servers.add(raw, PLAIN, null);
            TestPeer client = sendLongRequest("/safe/");
            respondEarly(raw, connectionEnd);
            TestPeer retry = raw.nextConnection();
            TestPeer.Message request = retry.read();
            String id = request.header("X-Dewplank-Request-Attempt-Id");
            retry.respond("200 OK", "X-Dewplank-Request-Attempt-Id: " + id + "\r\n" + ServerResponses.SEAL, "whole");
            assertEquals("whole", client.read().body());
            fixture.assertNoOpenRequests();
        }
    }

    @Test
    void aResponseWithoutALengthThatEndsAfterItsRequestWasReadIsRelayed() throws Exception {
        fixture.servers.plain();
        TestPeer client = sendLongRequest("/once/");
        Call call = fixture.nextCall();
        call.peer().send(ServerResponses.sealedHead(call, "") + "all of it");
        call.peer().close();
        TestPeer.Message response = client.read();
        assertEquals(200, response.status());
        assertEquals("all of it", response.body());
        fixture.assertNoOpenRequests();
    }

    // ---- malformed responses --------------------------------------------------------------------------

    private static void respondMalformed(Call call, MalformedResponse malformed) throws IOException {
        call.peer().send(malformed.withFields(ServerResponses.idOf(call) + ServerResponses.SEAL));
    }

    @ParameterizedTest
    @EnumSource(MalformedResponse.class)
    void aMalformedResponseToAnUnsafeRequestIsNotRelayed(MalformedResponse malformed) throws Exception {
        fixture.servers.plainServers(2);
        TestPeer client = fixture.sendRequest("/once/");
        respondMalformed(fixture.nextCall(), malformed);
        assertEquals(502, client.read().status());
        fixture.assertNoOpenRequests();
    }

    @ParameterizedTest
    @EnumSource(MalformedResponse.class)
    void aSafeRequestIsRetriedAfterAMalformedResponse(MalformedResponse malformed) throws Exception {
        fixture.servers.plainServers(2);
        TestPeer client = fixture.sendRequest("/safe/");
        respondMalformed(fixture.nextCall(), malformed);
        assertServed(fixture.nextCall(), client, "served");
        fixture.assertNoOpenRequests();
    }

    @ParameterizedTest
    @EnumSource(MalformedResponse.class)
    void aMalformedStreamIsNotRelayed(MalformedResponse malformed) throws Exception {
        fixture.servers.decode();
        TestPeer client = fixture.sendRequest("/gen/");
        respondMalformed(fixture.nextCall(), malformed);
        assertEquals(502, client.read().status());
        fixture.assertNoOpenRequests();
    }

    @ParameterizedTest
    @EnumSource(MalformedResponse.class)
    void afterAMalformedPrefillTheDecodeServerPrefills(MalformedResponse malformed) throws Exception {
        fixture.servers.prefill();
        fixture.servers.decode();
        TestPeer client = fixture.sendRequest("/gen/", ClientRequests.PROMPT);
        respondMalformed(fixture.nextCall(), malformed);
        assertStreamed(fixture.nextCall(), client, 1);
        fixture.assertNoOpenRequests();
    }

    // ---- responses that end early ---------------------------------------------------------------------

    private static IntStream partsOfResponses() {
        return IntStream.range(0, (int) PartialResponses.all().count());
    }

    @ParameterizedTest
    @MethodSource("partsOfResponses")
    void aPartOfAResponseIsNotRelayed(int part) throws Exception {
        fixture.servers.plain();
        TestPeer client = fixture.sendRequest("/once/");
        Call call = fixture.nextCall();
        List<String> parts = PartialResponses.withFields(ServerResponses.idOf(call) + ServerResponses.SEAL)
                .toList();
        call.peer().send(parts.get(part));
        call.peer().close();
        assertEquals(502, client.read().status());
        fixture.assertNoOpenRequests();
    }

    @Test
    void aStreamWithoutALengthThatIsResetIsCut() throws Exception {
        fixture.servers.decode();
        for (String fields : List.of("", "Connection: close\r\n")) {
            TestPeer client = fixture.sendRequest("/gen/", fields);
            Call call = fixture.nextCall();
            call.peer().send(ServerResponses.sealedHead(call, "") + ServerResponses.event(1));
            assertEquals("chunked", client.readHead().header("Transfer-Encoding"));
            assertEquals(ServerResponses.event(1), client.readChunk());
            call.peer().reset();
            assertAborted(client);
        }
        fixture.assertNoOpenRequests();
    }

    /** The client sees that its response is not complete, as it receives neither all bytes nor a last chunk. */
    @ParameterizedTest
    @CsvSource({
        "HTTP/1.1, '', true",
        "HTTP/1.1, '', false",
        "HTTP/1.1, Connection: close, true",
        "HTTP/1.1, Connection: close, false",
        "HTTP/1.0, '', true",
        "HTTP/1.0, '', false"
    })
    void aLongResponseThatEndsEarlyIsCut(String version, String field, boolean hasLength) throws Exception {
        fixture.servers.plain();
        TestPeer client = fixture.client();
        String fields = field.isEmpty() ? "" : field + "\r\n";
        client.send(ClientRequests.request("/once/", fields, "hi").replace("HTTP/1.1", version));
        Call call = fixture.nextCall();
        call.peer()
                .send(ServerResponses.sealedHead(call, hasLength ? "Content-Length: " + 2 * RELAYED_BYTES + "\r\n" : "")
                        + "x".repeat(RELAYED_BYTES));
        TestPeer.Message head = client.readHead();
        assertEquals(200, head.status());
        call.peer().reset();
        String body = client.readToEnd();
        if (hasLength) {
            assertEquals(Integer.toString(2 * RELAYED_BYTES), head.header("Content-Length"));
            assertTrue(body.length() < 2 * RELAYED_BYTES);
        } else {
            assertEquals("chunked", head.header("Transfer-Encoding"));
            assertFalse(body.endsWith("0\r\n\r\n"));
        }
        fixture.assertNoOpenRequests();
    }
}
