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
    private static final Duration LONG_TIMEOUT = Duration.ofSeconds(20); // only reached when the test fails
    private static final Duration SHORT_TIMEOUT = Duration.ofMillis(100);
    private static final int MANY_ROUNDS = 200; // under load a short timeout may expire at the second address too
    private static final String NO_QUORUM = "{\"code\":301,\"result\":\"NO_QUORUM\",\"detail\":\"silence\"}";
    private static final String OK = "{\"code\":100,\"result\":\"OK\",\"detail\":\"\"}";
    private static final String NONE_YET = "{\"code\":206,\"result\":\"NO_CONFIGURATION\",\"detail\":\"none\"}";
    private static final String MISMATCH =
            "{\"code\":205,\"result\":\"VERSION_MISMATCH\",\"detail\":\"version 8 is in " + "place\",\"version\":8}";
    private static final byte[] FILE = "{\"config_version\":9}".getBytes(StandardCharsets.UTF_8);

    private final FakeControlPlane one;
    private final FakeControlPlane two;
    private final List<Long> backoffsMs = new ArrayList<>();

    ControlClientTest() throws IOException {
        one = new FakeControlPlane();
        two = new FakeControlPlane();
    }

    @AfterEach
    void close() {
        one.close();
        two.close();
    }

    private ControlClient client(int rounds, String... addresses) {
        return client(LONG_TIMEOUT, rounds, addresses);
    }

    private ControlClient client(Duration responseTimeout, int maxRounds, String... addresses) {
        return new ControlClient(
                new OperatorApiAddresses(Arrays.asList(addresses)), maxRounds, responseTimeout, backoffsMs::add);
    }

    private ControlClient both(int rounds) {
        return client(rounds, one.address(), two.address());
    }

    @Test
    void returnsTheFirstConclusiveResponse() throws Exception {
        one.then(200, "{\"a\":1}");
        ControlResponse response = both(1).call(ControlCall.get("/status"));
        assertEquals(one.address(), response.address());
        assertEquals(Map.of("a", 1L), response.fields());
        assertEquals(List.of(new FakeControlPlane.Call("GET", "/status", null, "")), one.calls());
        assertEquals(List.of(), two.calls());
    }

    @Test
    void failsOverWhenTheConnectionIsRefused() throws Exception {
        String unusedAddress;
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            unusedAddress = "127.0.0.1:" + socket.getLocalPort();
        }
        two.then(200, OK);
        assertEquals(
                two.address(),
                client(1, unusedAddress, two.address())
                        .call(ControlCall.get("/status"))
                        .address());
    }

    @Test
    void failsOverAfterATimeout() throws Exception {
        for (int i = 0; i < MANY_ROUNDS; i++) {
            two.then(200, OK); // the first control plane has no scripted response and never responds
        }
        ControlResponse response =
                client(SHORT_TIMEOUT, MANY_ROUNDS, one.address(), two.address()).call(ControlCall.put(7, FILE));
        assertTrue(response.isSuccess());
        assertEquals(two.address(), response.address());
        assertEquals(two.calls().get(0), one.calls().get(0));
    }

    @Test
    void failsOverAfterInconclusiveResponses() throws Exception {
        one.then(503, NO_QUORUM).then(500, "").then(408, "").then(429, "");
        two.then(503, NO_QUORUM).then(502, "x").then(408, "").then(412, MISMATCH);
        ControlResponse response = both(4).call(ControlCall.put(7, FILE));
        assertEquals(412, response.status());
        assertEquals(List.of(100L, 200L, 400L), backoffsMs);
        assertEquals(4, one.calls().size());
        assertEquals(one.calls(), two.calls(), "retried unchanged");
        assertEquals("205 VERSION_MISMATCH: version 8 is in place", response.result());
        assertTrue(assertThrows(InvalidInputException.class, response::requireSuccess)
                .getMessage()
                .startsWith("205 "));
    }

    @Test
    void reportsTheLastErrorOfEachAddress() {
        one.then(503, NO_QUORUM);
        two.then(500, "not JSON");
        NoResponseException failure =
                assertThrows(NoResponseException.class, () -> both(1).call(ControlCall.get("/x")));
        assertEquals(
                "801 NO_ANSWER: " + one.address() + ": 301 NO_QUORUM: silence; " + two.address() + ": status 500",
                failure.getMessage());
        assertEquals(List.of(), backoffsMs);
    }

    @Test
    void doublesTheBackoffUpToTheMaximum() {
        for (int i = 0; i < 8; i++) {
            one.then(503, NO_QUORUM);
        }
        assertThrows(NoResponseException.class, () -> client(8, one.address()).call(ControlCall.get("/x")));
        assertEquals(List.of(100L, 200L, 400L, 800L, 1_600L, 1_600L, 1_600L), backoffsMs);
    }

    @Test
    void followsTwoRedirectsWithTheCompleteCall() throws Exception {
        one.thenRedirect("http://" + two.address() + "/configuration").then(200, OK);
        two.thenRedirect("http://" + one.address() + "/configuration");
        ControlResponse response = client(1, one.address()).call(ControlCall.patch(7, FILE));
        assertEquals(one.address(), response.address());
        assertEquals(
                new FakeControlPlane.Call("PATCH", "/configuration", "7", "{\"config_version\":9}"),
                two.calls().get(0));
        assertEquals(one.calls().get(0), one.calls().get(1));
    }

    @Test
    void rejectsAThirdRedirectAndInvalidRedirects() {
        for (int i = 0; i < 3; i++) {
            one.thenRedirect("/again");
        }
        assertThrows(NoResponseException.class, () -> client(1, one.address()).call(ControlCall.get("/x")));
        assertEquals(3, one.calls().size());
        for (String invalidTarget : List.of("", "ftp://127.0.0.1/x", "http://%zz", "http:///x")) {
            two.thenRedirect(invalidTarget);
            assertThrows(
                    NoResponseException.class,
                    () -> client(1, two.address()).call(ControlCall.get("/x")),
                    invalidTarget);
        }
    }

    @Test
    void callsEachAddressOnce() throws Exception {
        one.then(500, "");
        two.then(200, "{}");
        Map<String, ControlResponse> responses = both(1).callEach(ControlCall.get("/status"));
        assertEquals(List.of(two.address()), List.copyOf(responses.keySet()));
        one.then(500, "");
        two.then(500, "");
        assertThrows(NoResponseException.class, () -> both(1).callEach(ControlCall.get("/status")));
    }

    @Test
    void aChangeExpectsTheCurrentVersion() throws Exception {
        one.then(200, "{\"config_version\":7,\"routes\":[],\"services\":[]}").then(200, OK);
        assertTrue(new ConfigurationChanges(both(1)).put(FILE, null).isSuccess());
        assertEquals("7", one.calls().get(1).ifMatch());
    }

    @Test
    void theFirstConfigurationExpectsVersionZero() throws Exception {
        one.then(404, NONE_YET).then(200, OK);
        assertTrue(new ConfigurationChanges(both(1)).put(FILE, null).isSuccess());
        assertEquals(
                new FakeControlPlane.Call("PUT", "/configuration", "0", "{\"config_version\":9}"),
                one.calls().get(1));
    }

    @Test
    void aChangeWithAnExplicitVersionDoesNotReadTheCurrentVersion() throws Exception {
        one.then(412, MISMATCH);
        ControlResponse response = new ConfigurationChanges(both(1)).patch(FILE, 7L);
        assertFalse(response.isSuccess());
        assertTrue(response.hasResult(ResultCode.VERSION_MISMATCH));
        assertEquals(1, one.calls().size());
    }

    @Test
    void aChangeWithoutAResponseReportsHowToRetryIt() {
        one.then(503, NO_QUORUM);
        NoResponseException failure = assertThrows(
                NoResponseException.class, () -> new ConfigurationChanges(client(1, one.address())).put(FILE, 7L));
        assertTrue(failure.getMessage().startsWith("801 NO_ANSWER: " + one.address() + ": 301 "), failure.getMessage());
        assertTrue(failure.getMessage().endsWith("--on 7"), failure.getMessage());
    }

    @Test
    void reportsAnUnreadableResponse() {
        one.then(200, "no JSON").then(200, "{\"config_version\":7}");
        ConfigurationChanges changes = new ConfigurationChanges(both(1));
        for (int i = 0; i < 2; i++) {
            InvalidInputException fault = assertThrows(InvalidInputException.class, changes::current);
            assertEquals(ResultCode.ANSWER_UNREADABLE, fault.code(), fault.getMessage());
        }
    }
}
