package dewplank.emulator.loopback;

import static org.junit.jupiter.api.Assertions.assertEquals;

import dewplank.exchange.ConnectionEnd;
import dewplank.exchange.MalformedResponse;
import dewplank.exchange.ScriptedServer;
import dewplank.exchange.TestPeer;
import dewplank.http.MessageWriter;
import dewplank.net.EventLoop;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/** Calls whose responses end with the connection or are malformed. */
class HttpClientTest {
    /** More than the system buffers for a peer that does not read. */
    private static final int LONG_BODY_BYTES = 16 << 20;

    private static final String PART = "HTTP/1.1 200 OK\r\n\r\npart of";

    private EventLoop loop;
    private ScriptedServer server;

    @BeforeEach
    void setUp() throws IOException {
        loop = new EventLoop();
        server = ScriptedServer.withoutReading();
    }

    @AfterEach
    void tearDown() throws IOException {
        server.close();
        loop.stop();
    }

    /** Completes with the body of the response, or with "none" if the call fails. */
    private CompletableFuture<String> call(int bodyBytes) {
        CompletableFuture<String> body = new CompletableFuture<>();
        HttpClient client = new HttpClient(loop, server.address(), 1);
        loop.execute(() -> client.call(
                MessageWriter.request("POST", "/", "x").body(new byte[bodyBytes]),
                response -> body.complete(
                        response.map(complete -> text(complete.body())).orElse("none"))));
        return body;
    }

    private static String text(byte[] bytes) {
        return new String(bytes, StandardCharsets.ISO_8859_1);
    }

    @ParameterizedTest
    @EnumSource(ConnectionEnd.class)
    void aResponseThatEndsBeforeItsRequestIsSentIsNone(ConnectionEnd connectionEnd) throws Exception {
        CompletableFuture<String> body = call(LONG_BODY_BYTES);
        try (TestPeer peer = server.nextConnection()) {
            peer.readHead();
            peer.send(PART);
            connectionEnd.apply(peer);
            assertEquals("none", body.get(TestPeer.TIMEOUT_S, TimeUnit.SECONDS));
        }
    }

    @Test
    void aResponseThatEndsAfterItsRequestWasReadIsComplete() throws Exception {
        CompletableFuture<String> body = call(1);
        try (TestPeer peer = server.nextConnection()) {
            peer.read();
            peer.send(PART);
            peer.close();
            assertEquals("part of", body.get(TestPeer.TIMEOUT_S, TimeUnit.SECONDS));
        }
    }

    @ParameterizedTest
    @EnumSource(MalformedResponse.class)
    void aMalformedResponseIsNone(MalformedResponse malformed) throws Exception {
        CompletableFuture<String> body = call(1);
        try (TestPeer peer = server.nextConnection()) {
            peer.read();
            peer.send(malformed.withFields(""));
            assertEquals("none", body.get(TestPeer.TIMEOUT_S, TimeUnit.SECONDS));
        }
    }
}
