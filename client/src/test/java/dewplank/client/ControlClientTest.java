package dewplank.client;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dewplank.settings.InvalidInputException;
import dewplank.settings.ResultCode;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** Calls over loopback to control planes with scripted responses. */
class ControlClientTest {
    private static final Duration LONG_TIMEOUT = Duration.ofSeconds(20); // expires only if a test fails
    private static final Duration SHORT_TIMEOUT = Duration.ofMillis(100);
    private static final int MANY_ROUNDS = 200; // under load a short timeout may expire at the second address too
    private static final String NO_QUORUM = "{\"code\":301,\"result\":\"NO_QUORUM\",\"detail\":\"silence\"}";
    private static final String OK = "{\"code\":100,\"result\":\"OK\",\"detail\":\"\"}";
    private static final String NO_CONFIGURATION = "{\"code\":206,\"result\":\"NO_CONFIGURATION\",\"detail\":\"none\"}";
    private static final String VERSION_MISMATCH =
            "{\"code\":205,\"result\":\"VERSION_MISMATCH\",\"detail\":\"version 8 is in " + "place\",\"version\":8}";
    private static final byte[] FILE = "{\"config_version\":9}".getBytes(StandardCharsets.UTF_8);

    private final FakeControlPlane first;
    private final FakeControlPlane second;
    private final List<Long> backoffsMs = new ArrayList<>();

    ControlClientTest() throws IOException {
        first = new FakeControlPlane();
        second = new FakeControlPlane();
    }

    @AfterEach
    void close() {
        first.close();
        second.close();
    }

    private ControlClient client(int rounds, String... addresses) {
        return client(LONG_TIMEOUT, rounds, addresses);
    }

    private ControlClient client(Duration responseTimeout, int maxRounds, String... addresses) {
        return new ControlClient(
                new OperatorApiAddresses(Arrays.asList(addresses)), maxRounds, responseTimeout, backoffsMs::add);
    }

    private ControlClient clientOfBoth(int rounds) {
        return client(rounds, first.address(), second.address());
    }

    @Test
    void returnsTheFirstConclusiveResponse() throws Exception {
        first.addResponse(200, "{\"a\":1}");
        ControlResponse response = clientOfBoth(1).call(ControlCall.get("/status"));
        assertEquals(first.address(), response.address());
        assertEquals(Map.of("a", 1L), response.fields());
        assertEquals(List.of(new FakeControlPlane.Call("GET", "/status", null, "")), first.calls());
        assertEquals(List.of(), second.calls());
    }

    @Test
    void failsOverWhenTheConnectionIsRefused() throws Exception {
        String unusedAddress;
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            unusedAddress = "127.0.0.1:" + socket.getLocalPort();
        }
        second.addResponse(200, OK);
        assertEquals(
                second.address(),
                client(1, unusedAddress, second.address())
                        .call(ControlCall.get("/status"))
                        .address());
    }

    @Test
    void failsOverAfterATimeout() throws Exception {
        for (int i = 0; i < MANY_ROUNDS; i++) {
            second.addResponse(200, OK); // the first control plane has no scripted response and never responds
        }
        ControlResponse response = client(SHORT_TIMEOUT, MANY_ROUNDS, first.address(), second.address())
                .call(ControlCall.put(7, FILE));
        assertTrue(response.isSuccess());
        assertEquals(second.address(), response.address());
        assertEquals(second.calls().get(0), first.calls().get(0));
    }

    @Test
    void failsOverAfterInconclusiveResponses() throws Exception {
        first.addResponse(503, NO_QUORUM)
                .addResponse(500, "")
                .addResponse(408, "")
                .addResponse(429, "");
        second.addResponse(503, NO_QUORUM)
                .addResponse(502, "x")
                .addResponse(408, "")
                .addResponse(412, VERSION_MISMATCH);
        ControlResponse response = clientOfBoth(4).call(ControlCall.put(7, FILE));
        assertEquals(412, response.status());
        assertEquals(List.of(100L, 200L, 400L), backoffsMs);
        assertEquals(4, first.calls().size());
        assertEquals(first.calls(), second.calls(), "retried unchanged");
        assertEquals("205 VERSION_MISMATCH: version 8 is in place", response.result());
        assertTrue(assertThrows(InvalidInputException.class, response::requireSuccess)
                .getMessage()
                .startsWith("205 "));
    }

    @Test
    void reportsTheLastErrorOfEachAddress() {
        first.addResponse(503, NO_QUORUM);
        second.addResponse(500, "not JSON");
        NoResponseException failure =
                assertThrows(NoResponseException.class, () -> clientOfBoth(1).call(ControlCall.get("/x")));
        assertEquals(
                "801 NO_ANSWER: " + first.address() + ": 301 NO_QUORUM: silence; " + second.address() + ": status 500",
                failure.getMessage());
        assertEquals(List.of(), backoffsMs);
    }

    @Test
    void doublesTheBackoffUpToTheMaximum() {
        for (int i = 0; i < 8; i++) {
            first.addResponse(503, NO_QUORUM);
        }
        assertThrows(NoResponseException.class, () -> client(8, first.address()).call(ControlCall.get("/x")));
        assertEquals(List.of(100L, 200L, 400L, 800L, 1_600L, 1_600L, 1_600L), backoffsMs);
    }

    @Test
    void followsTwoRedirectsWithTheCompleteCall() throws Exception {
        first.addRedirect("http://" + second.address() + "/configuration").addResponse(200, OK);
        second.addRedirect("http://" + first.address() + "/configuration");
        ControlResponse response = client(1, first.address()).call(ControlCall.patch(7, FILE));
        assertEquals(first.address(), response.address());
        assertEquals(
                new FakeControlPlane.Call("PATCH", "/configuration", "7", "{\"config_version\":9}"),
                second.calls().get(0));
        assertEquals(first.calls().get(0), first.calls().get(1));
    }

    @Test
    void rejectsAThirdRedirectAndInvalidRedirects() {
        for (int i = 0; i < 3; i++) {
            first.addRedirect("/again");
        }
        assertThrows(NoResponseException.class, () -> client(1, first.address()).call(ControlCall.get("/x")));
        assertEquals(3, first.calls().size());
        for (String invalidTarget : List.of("", "ftp://127.0.0.1/x", "http://%zz", "http:///x")) {
            second.addRedirect(invalidTarget);
            assertThrows(
                    NoResponseException.class,
                    () -> client(1, second.address()).call(ControlCall.get("/x")),
                    invalidTarget);
        }
    }

    @Test
    void callsEachAddressOnce() throws Exception {
        first.addResponse(500, "");
        second.addResponse(200, "{}");
        Map<String, ControlResponse> responses = clientOfBoth(1).callEach(ControlCall.get("/status"));
        assertEquals(List.of(second.address()), List.copyOf(responses.keySet()));
        first.addResponse(500, "");
        second.addResponse(500, "");
        assertThrows(NoResponseException.class, () -> clientOfBoth(1).callEach(ControlCall.get("/status")));
    }

    @Test
    void aChangeExpectsTheCurrentVersion() throws Exception {
        first.addResponse(200, "{\"config_version\":7,\"routes\":[],\"services\":[]}")
                .addResponse(200, OK);
        assertTrue(new ConfigurationChanges(clientOfBoth(1)).put(FILE, null).isSuccess());
        assertEquals("7", first.calls().get(1).ifMatch());
    }

    @Test
    void theFirstConfigurationExpectsVersionZero() throws Exception {
        first.addResponse(404, NO_CONFIGURATION).addResponse(200, OK);
        assertTrue(new ConfigurationChanges(clientOfBoth(1)).put(FILE, null).isSuccess());
        assertEquals(
                new FakeControlPlane.Call("PUT", "/configuration", "0", "{\"config_version\":9}"),
                first.calls().get(1));
    }

    @Test
    void aChangeWithAnExplicitVersionDoesNotReadTheCurrentVersion() throws Exception {
        first.addResponse(412, VERSION_MISMATCH);
        ControlResponse response = new ConfigurationChanges(clientOfBoth(1)).patch(FILE, 7L);
        assertFalse(response.isSuccess());
        assertTrue(response.hasResult(ResultCode.VERSION_MISMATCH));
        assertEquals(1, first.calls().size());
    }

    @Test
    void aChangeWithoutAResponseReportsHowToRetryIt() {
        first.addResponse(503, NO_QUORUM);
        NoResponseException failure = assertThrows(
                NoResponseException.class, () -> new ConfigurationChanges(client(1, first.address())).put(FILE, 7L));
        assertTrue(
                failure.getMessage().startsWith("801 NO_ANSWER: " + first.address() + ": 301 "), failure.getMessage());
        assertTrue(failure.getMessage().endsWith("--on 7"), failure.getMessage());
    }

    @Test
    void reportsAnUnreadableResponse() {
        first.addResponse(200, "no JSON").addResponse(200, "{\"config_version\":7}");
        ConfigurationChanges changes = new ConfigurationChanges(clientOfBoth(1));
        for (int i = 0; i < 2; i++) {
            InvalidInputException fault = assertThrows(InvalidInputException.class, changes::current);
            assertEquals(ResultCode.ANSWER_UNREADABLE, fault.code(), fault.getMessage());
        }
    }
}
