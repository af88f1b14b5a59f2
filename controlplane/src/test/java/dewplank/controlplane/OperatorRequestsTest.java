package dewplank.controlplane;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dewplank.exchange.TestPeer;
import dewplank.net.EventLoop;
import dewplank.net.Listener;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Tests the operators' interface at the level of bytes: which requests it accepts, and the status of rejected ones. */
class OperatorRequestsTest {
    private static final String ROUTE = "{\"name\":\"r-1\",\"host_name\":\"a.example\",\"path_prefix\":\"/a/\","
            + "\"route_type\":\"safe\",\"timeout_ms\":2500,\"service\":\"s\"}";
    private static final int MIB = 1 << 20;

    private EventLoop loop;
    private Listener listener;

    /** Views without content. */
    private static final class NoViews implements OperatorApi.Views {
        @Override
        public String members() {
            return "{}";
        }

        @Override
        public String duties() {
            return "{}";
        }

        @Override
        public String servers() {
            return "{}";
        }

        @Override
        public Optional<String> server(String instanceId) {
            return Optional.empty();
        }

        @Override
        public String status() {
            return "{}";
        }

        @Override
        public String dataPlanes() {
            return "{}";
        }
    }

    /** A control plane that reaches a quorum. */
    private static final class WithQuorum implements OperatorApi.Redirects {
        @Override
        public boolean hasQuorum() {
            return true;
        }

        @Override
        public boolean areFoundersLost() {
            return false;
        }

        @Override
        public Optional<String> quorateOperatorAddress() {
            return Optional.empty();
        }

        @Override
        public List<String> otherOperatorAddresses() {
            return List.of();
        }
    }

    @BeforeEach
    void start() throws IOException {
        loop = new EventLoop();
        OperatorApi api = new OperatorApi(new FakeRegister(), new WithQuorum(), new NoViews());
        listener = new Listener(
                loop, new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 64, () -> api.connection(loop));
        loop.execute(listener::accept);
    }

    @AfterEach
    void stop() {
        loop.stop();
    }

    private static String configuration(long version) {
        return "{\"config_version\":" + version + ",\"routes\":[" + ROUTE + "],\"services\":[{\"name\":\"s\"}]}";
    }

    private TestPeer client() throws IOException {
        return TestPeer.to((InetSocketAddress) listener.address());
    }

    private int status(String method, String ifMatch, String body) throws IOException {
        try (TestPeer client = client()) {
            client.send(method + " /configuration HTTP/1.1\r\nHost: c\r\nIf-Match: " + ifMatch + "\r\nContent-Length: "
                    + body.length() + "\r\n\r\n" + body);
            return client.read().status();
        }
    }

    // ---- If-Match -------------------------------------------------------------------------------------

    @ParameterizedTest
    @ValueSource(strings = {"3", "\"3\"", " 3 ", "03"})
    void ifMatchIsAcceptedWithAndWithoutQuotes(String ifMatch) throws IOException {
        assertEquals(200, status("PUT", "0", configuration(3)));
        assertEquals(200, status("PUT", ifMatch, configuration(4)));
    }

    @ParameterizedTest
    @ValueSource(strings = {"*", "W/\"3\"", "3, 4", "3.0", "-3", "three", "", "\"\"", "99999999999999999999"})
    void anIfMatchWithoutAVersionIsRejected(String ifMatch) throws IOException {
        assertEquals(200, status("PUT", "0", configuration(3)));
        assertEquals(400, status("PUT", ifMatch, configuration(4)));
        assertEquals(400, status("PATCH", ifMatch, "{\"config_version\":4}"));
    }

    // ---- repeated changes -----------------------------------------------------------------------------

    @Test
    void aRepeatedChangeIsAcknowledgedDespiteLaterChanges() throws IOException {
        String patch = "{\"config_version\":8,\"remove\":{\"routes\":[\"r-1\"]}}";
        assertEquals(200, status("PUT", "0", configuration(3)));
        assertEquals(200, status("PUT", "0", configuration(3)));
        assertEquals(200, status("PATCH", "3", patch));
        assertEquals(200, status("PUT", "8", configuration(9)));
        assertEquals(200, status("PUT", "0", configuration(3)));
        assertEquals(200, status("PATCH", "3", patch));
        assertEquals(200, status("PUT", "8", configuration(9)));
    }

    /** Tests a different body with the same version, and the same body with another base version or another method. */
    @Test
    void aDifferentChangeIsNotARepetition() throws IOException {
        assertEquals(200, status("PUT", "0", configuration(3)));
        assertEquals(412, status("PUT", "0", configuration(3) + " "));
        assertEquals(412, status("PUT", "2", configuration(3)));
        assertEquals(400, status("PUT", "3", configuration(3)));
        assertEquals(412, status("PATCH", "0", configuration(3)));
    }

    @ParameterizedTest
    @CsvSource({"PUT,3", "PATCH,3", "PUT,2", "PATCH,2"})
    void anUnreadableBodyIsInvalidForAnyBaseVersion(String method, String ifMatch) throws IOException {
        assertEquals(200, status("PUT", "0", configuration(3)));
        assertEquals(400, status(method, ifMatch, "{\"config_version\":4,"));
        assertEquals(400, status(method, ifMatch, ""));
    }

    // ---- bodies ---------------------------------------------------------------------------------------

    private static String head(String fields) {
        return "PUT /configuration HTTP/1.1\r\nHost: c\r\nIf-Match: 0\r\n" + fields + "\r\n";
    }

    @Test
    void acceptsAConfigurationOfTheMaximumSize() throws IOException {
        assertEquals(
                200,
                status(
                        "PUT",
                        "0",
                        configuration(3) + " ".repeat(4 * MIB - configuration(3).length())));
    }

    @Test
    void aConfigurationAboveTheMaximumSizeIsInvalid() throws IOException {
        assertEquals(
                400,
                status(
                        "PUT",
                        "0",
                        configuration(3) + " ".repeat(4 * MIB - configuration(3).length() + 1)));
    }

    /** The request is rejected after its head, so that the client does not have to send the body. */
    @Test
    void aBodyAboveTheBodyLimitIsNotRead() throws IOException {
        try (TestPeer client = client()) {
            client.send(head("Content-Length: " + 5 * MIB + "\r\n"));
            assertEquals(413, client.read().status());
            assertNull(client.read());
        }
        assertEquals(200, status("PUT", "0", configuration(3)));
    }

    @Test
    void acceptsAChunkedBody() throws IOException {
        try (TestPeer client = client()) {
            client.send(head("Transfer-Encoding: chunked\r\n"));
            client.chunk(configuration(3).substring(0, 20));
            client.chunk(configuration(3).substring(20));
            client.lastChunk();
            assertEquals(200, client.read().status());
        }
    }

    // ---- malformed requests ---------------------------------------------------------------------------

    @Test
    void aMalformedRequestIsRejectedWithoutAffectingOtherConnections() throws IOException {
        for (String first : List.of(
                "GET  HTTP/1.1",
                "GET HTTP/1.1",
                " /configuration HTTP/1.1",
                " ",
                "GET",
                "GET configuration HTTP/1.1",
                "GET /configuration",
                "G@T /configuration HTTP/1.1",
                "\u0000\u0001\u0002")) {
            try (TestPeer client = client()) {
                client.send(first + "\r\nHost: c\r\n\r\n");
                TestPeer.Message response = client.read();
                assertEquals(400, response.status(), first);
                assertEquals("close", response.header("Connection"), first);
                assertNull(client.read(), first);
            }
        }
        assertEquals(200, status("PUT", "0", configuration(3)));
    }

    @Test
    void anUnknownPathOrMethodIsReported() throws IOException {
        for (String target : List.of("/", "//", "/configuration/1", "/?x=/configuration")) {
            try (TestPeer client = client()) {
                client.send("GET " + target + " HTTP/1.1\r\nHost: c\r\n\r\n");
                TestPeer.Message response = client.read();
                assertEquals(404, response.status(), target);
                assertTrue(response.body().contains("NO_SUCH_PATH"), response.body());
            }
        }
        assertEquals(405, status("POST", "0", configuration(3)));
    }
}
