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

/** Calls over loopback to control sidecars that answer by a script. */
class ControlClientTest {
    private static final Duration PATIENCE = Duration.ofSeconds(20); // only a failing test waits so long
    private static final Duration SHORT = Duration.ofMillis(100);
    private static final int MANY_ROUNDS = 200; // a machine under load may miss a short time
    private static final String NO_QUORUM = "{\"code\":301,\"result\":\"NO_QUORUM\",\"detail\":\"silence\"}";
    private static final String OK = "{\"code\":100,\"result\":\"OK\",\"detail\":\"\"}";
    private static final String NONE_YET = "{\"code\":206,\"result\":\"NO_CONFIGURATION\",\"detail\":\"none\"}";
    private static final String MISMATCH =
            "{\"code\":205,\"result\":\"VERSION_MISMATCH\",\"detail\":\"version 8 is in " + "place\",\"version\":8}";
    private static final byte[] FILE = "{\"config_version\":9}".getBytes(StandardCharsets.UTF_8);

    private final StandInControl one;
    private final StandInControl two;
    private final List<Long> pauses = new ArrayList<>();

    ControlClientTest() throws IOException {
        one = new StandInControl();
        two = new StandInControl();
    }

    @AfterEach
    void close() {
        one.close();
        two.close();
    }

    private ControlClient client(int rounds, String... addresses) {
        return client(PATIENCE, rounds, addresses);
    }

    private ControlClient client(Duration silence, int rounds, String... addresses) {
        return new ControlClient(new ControlAddresses(Arrays.asList(addresses)), rounds, silence, pauses::add);
    }

    private ControlClient both(int rounds) {
        return client(rounds, one.address(), two.address());
    }

    @Test
    void givesTheFirstClearAnswer() throws Exception {
        one.then(200, "{\"a\":1}");
        Answer answer = both(1).call(ControlCall.get("/status"));
        assertEquals(one.address(), answer.address());
        assertEquals(Map.of("a", 1L), answer.fields());
        assertEquals(List.of(new StandInControl.Call("GET", "/status", null, "")), one.calls());
        assertEquals(List.of(), two.calls());
    }

    @Test
    void movesOnWhereNobodyListens() throws Exception {
        String nobody;
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            nobody = "127.0.0.1:" + socket.getLocalPort();
        }
        two.then(200, OK);
        assertEquals(
                two.address(),
                client(1, nobody, two.address())
                        .call(ControlCall.get("/status"))
                        .address());
    }

    @Test
    void movesOnAfterSilence() throws Exception {
        for (int i = 0; i < MANY_ROUNDS; i++) {
            two.then(200, OK); // the first has no script, and says nothing
        }
        Answer answer = client(SHORT, MANY_ROUNDS, one.address(), two.address()).call(ControlCall.put(7, FILE));
        assertTrue(answer.done());
        assertEquals(two.address(), answer.address());
        assertEquals(two.calls().get(0), one.calls().get(0));
    }

    @Test
    void movesOnAfterWhatPromisesNothing() throws Exception {
        one.then(503, NO_QUORUM).then(500, "").then(408, "").then(429, "");
        two.then(503, NO_QUORUM).then(502, "x").then(408, "").then(412, MISMATCH);
        Answer answer = both(4).call(ControlCall.put(7, FILE));
        assertEquals(412, answer.status());
        assertEquals(List.of(100L, 200L, 400L), pauses);
        assertEquals(4, one.calls().size());
        assertEquals(one.calls(), two.calls(), "resent unchanged");
        assertEquals("205 VERSION_MISMATCH: version 8 is in place", answer.result());
        assertTrue(assertThrows(InvalidInputException.class, answer::orRefused)
                .getMessage()
                .startsWith("205 "));
    }

    @Test
    void givesUpAndSaysWhatEachSaid() {
        one.then(503, NO_QUORUM);
        two.then(500, "not JSON");
        NoAnswerException none = assertThrows(NoAnswerException.class, () -> both(1).call(ControlCall.get("/x")));
        assertEquals(
                "801 NO_ANSWER: " + one.address() + ": 301 NO_QUORUM: silence; " + two.address() + ": status 500",
                none.getMessage());
        assertEquals(List.of(), pauses);
    }

    @Test
    void pausesGrowUpToABound() {
        for (int i = 0; i < 8; i++) {
            one.then(503, NO_QUORUM);
        }
        assertThrows(NoAnswerException.class, () -> client(8, one.address()).call(ControlCall.get("/x")));
        assertEquals(List.of(100L, 200L, 400L, 800L, 1_600L, 1_600L, 1_600L), pauses);
    }

    @Test
    void followsTwoRedirectsWithAllOfTheCall() throws Exception {
        one.thenRedirect("http://" + two.address() + "/configuration").then(200, OK);
        two.thenRedirect("http://" + one.address() + "/configuration");
        Answer answer = client(1, one.address()).call(ControlCall.patch(7, FILE));
        assertEquals(one.address(), answer.address());
        assertEquals(
                new StandInControl.Call("PATCH", "/configuration", "7", "{\"config_version\":9}"),
                two.calls().get(0));
        assertEquals(one.calls().get(0), one.calls().get(1));
    }

    @Test
    void followsNoThirdRedirectAndNoneToNowhere() {
        for (int i = 0; i < 3; i++) {
            one.thenRedirect("/again");
        }
        assertThrows(NoAnswerException.class, () -> client(1, one.address()).call(ControlCall.get("/x")));
        assertEquals(3, one.calls().size());
        for (String nowhere : List.of("", "ftp://127.0.0.1/x", "http://%zz", "http:///x")) {
            two.thenRedirect(nowhere);
            assertThrows(NoAnswerException.class, () -> client(1, two.address()).call(ControlCall.get("/x")), nowhere);
        }
    }

    @Test
    void asksEachForItsOwnAnswer() throws Exception {
        one.then(500, "");
        two.then(200, "{}");
        Map<String, Answer> answers = both(1).callEach(ControlCall.get("/status"));
        assertEquals(List.of(two.address()), List.copyOf(answers.keySet()));
        one.then(500, "");
        two.then(500, "");
        assertThrows(NoAnswerException.class, () -> both(1).callEach(ControlCall.get("/status")));
    }

    @Test
    void aChangeBuildsOnTheCurrentVersion() throws Exception {
        one.then(200, "{\"config_version\":7,\"routes\":[],\"services\":[]}").then(200, OK);
        assertTrue(new ConfigurationChanges(both(1)).put(FILE, null).done());
        assertEquals("7", one.calls().get(1).ifMatch());
    }

    @Test
    void theFirstConfigurationBuildsOnNone() throws Exception {
        one.then(404, NONE_YET).then(200, OK);
        assertTrue(new ConfigurationChanges(both(1)).put(FILE, null).done());
        assertEquals(
                new StandInControl.Call("PUT", "/configuration", "0", "{\"config_version\":9}"),
                one.calls().get(1));
    }

    @Test
    void aNamedVersionIsNotReadFirst() throws Exception {
        one.then(412, MISMATCH);
        Answer answer = new ConfigurationChanges(both(1)).patch(FILE, 7L);
        assertFalse(answer.done());
        assertTrue(answer.is(ResultCode.VERSION_MISMATCH));
        assertEquals(1, one.calls().size());
    }

    @Test
    void aChangeWithoutAnswerSaysHowToSendItAgain() {
        one.then(503, NO_QUORUM);
        NoAnswerException none = assertThrows(
                NoAnswerException.class, () -> new ConfigurationChanges(client(1, one.address())).put(FILE, 7L));
        assertTrue(none.getMessage().startsWith("801 NO_ANSWER: " + one.address() + ": 301 "), none.getMessage());
        assertTrue(none.getMessage().endsWith("--on 7"), none.getMessage());
    }

    @Test
    void anAnswerThatCantBeReadIsNamed() {
        one.then(200, "no JSON").then(200, "{\"config_version\":7}");
        ConfigurationChanges changes = new ConfigurationChanges(both(1));
        for (int i = 0; i < 2; i++) {
            InvalidInputException fault = assertThrows(InvalidInputException.class, changes::current);
            assertEquals(ResultCode.ANSWER_UNREADABLE, fault.code(), fault.getMessage());
        }
    }
}
