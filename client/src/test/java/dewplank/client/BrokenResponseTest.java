package dewplank.client;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;

import dewplank.exchange.ConnectionEnd;
import dewplank.exchange.MalformedResponse;
import dewplank.exchange.ScriptedServer;
import dewplank.exchange.TestPeer;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.MethodSource;

/** Responses that are malformed or end early are inconclusive: the next control plane is called. */
class BrokenResponseTest {
    private static final Duration TIMEOUT = Duration.ofSeconds(TestPeer.TIMEOUT_S);
    /** More than the system buffers for a peer that does not read. */
    private static final byte[] LONG_FILE = new byte[16 << 20];

    private static final byte[] SHORT_FILE = {'{', '}'};
    private static final String SOUND = "sound";

    private ScriptedServer first;
    private ScriptedServer raw;
    private FakeControlPlane second;

    @BeforeEach
    void setUp() throws IOException {
        first = new ScriptedServer();
        raw = ScriptedServer.withoutReading();
        second = new FakeControlPlane();
        second.addResponse(200, SOUND);
    }

    @AfterEach
    void tearDown() throws IOException {
        first.close();
        raw.close();
        second.close();
    }

    /** Completes with the body of the first conclusive response. */
    private CompletableFuture<String> call(ScriptedServer firstServer, ControlCall call) {
        OperatorApiAddresses addresses = new OperatorApiAddresses(List.of(firstServer.addressText(), second.address()));
        return CompletableFuture.supplyAsync(() -> {
            try {
                return new ControlClient(addresses, 1, TIMEOUT, ms -> {})
                        .call(call)
                        .text();
            } catch (NoResponseException | InterruptedException e) {
                throw new AssertionError(e);
            }
        });
    }

    private static String await(CompletableFuture<String> body) throws Exception {
        return body.get(2 * TestPeer.TIMEOUT_S, TimeUnit.SECONDS);
    }

    @ParameterizedTest
    @EnumSource(MalformedResponse.class)
    void aMalformedResponseIsInconclusive(MalformedResponse malformed) throws Exception {
        CompletableFuture<String> body = call(first, ControlCall.put(7, SHORT_FILE));
        TestPeer peer = first.next().peer();
        peer.send(malformed.withFields(""));
        peer.closeOutput();
        assertEquals(SOUND, await(body));
    }

    @ParameterizedTest
    @MethodSource("dewplank.exchange.PartialResponses#all")
    void aPartOfAResponseIsInconclusive(String part) throws Exception {
        CompletableFuture<String> body = call(first, ControlCall.get("/status"));
        TestPeer peer = first.next().peer();
        peer.send(part);
        peer.close();
        assertEquals(SOUND, await(body));
    }

    @ParameterizedTest
    @EnumSource(ConnectionEnd.class)
    void aResponseThatEndsBeforeItsRequestIsSentIsInconclusive(ConnectionEnd connectionEnd) throws Exception {
        CompletableFuture<String> body = call(raw, ControlCall.put(7, LONG_FILE));
        TestPeer peer = raw.nextConnection();
        peer.readHead();
        peer.send("HTTP/1.1 200 OK\r\n\r\npart of");
        connectionEnd.apply(peer);
        assertEquals(SOUND, await(body));
    }

    @Test
    void aResponseWithoutALengthIsReadToTheEndOfItsConnection() throws Exception {
        CompletableFuture<String> body = call(first, ControlCall.put(7, SHORT_FILE));
        ScriptedServer.Call received = first.next();
        assertEquals("7", received.message().header("If-Match"));
        assertArrayEquals(SHORT_FILE, received.message().body().getBytes(StandardCharsets.US_ASCII));
        received.peer().send("HTTP/1.1 200 OK\r\n\r\nall of it");
        received.peer().close();
        assertEquals("all of it", await(body));
    }
}
