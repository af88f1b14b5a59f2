package dewplank.dataplane;

import static dewplank.dataplane.TestConfiguration.PLAIN;
import static dewplank.dataplane.TestRoute.safeRoute;
import static dewplank.dataplane.TestRoute.unsafeRoute;
import static org.junit.jupiter.api.Assertions.assertEquals;

import dewplank.exchange.ConnectionEnd;
import dewplank.exchange.ScriptedServer;
import dewplank.exchange.TestPeer;
import java.io.IOException;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/** Responses of servers that are malformed or end early: clients never receive them as responses. */
class BrokenResponseTest {
    /** More than the system buffers for a server that does not read. */
    private static final int LONG_BODY_BYTES = 16 << 20;

    private static final int REPETITIONS = 6;

    private ForwarderFixture fixture;

    @BeforeEach
    void setUp() throws Exception {
        fixture = ForwarderFixture.builder()
                .withoutHedging()
                .maxBodyBytes(2 * LONG_BODY_BYTES)
                .routes(safeRoute("safe", 2), unsafeRoute("once", 2))
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
        ScriptedServer.Call call = fixture.nextCall();
        call.peer().send(ServerResponses.sealedHead(call, "") + "all of it");
        call.peer().close();
        TestPeer.Message response = client.read();
        assertEquals(200, response.status());
        assertEquals("all of it", response.body());
        fixture.assertNoOpenRequests();
    }
}
