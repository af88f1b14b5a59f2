package dewplank.exchange;

import static org.junit.jupiter.api.Assertions.assertEquals;

import dewplank.http.Headers;
import dewplank.net.EventLoop;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Responses without a length and without chunks to a request with a long body: only the clean end of the connection
 * shows that they are complete, and only if the request was sent.
 */
class UnframedResponseTest {
    private static final double CONNECT_TIMEOUT_MS = 5_000;
    /** More than the system buffers for a peer that does not read. */
    private static final int LONG_BODY_BYTES = 16 << 20;

    /** Fits into the send buffer that the system gives a connection on loopback by itself. */
    private static final int DEFAULT_SEND_BUFFER_BYTES = 1_000_000;

    private static final int REPETITIONS = 20;
    private static final int SHORT_BODY_BYTES = 1_000;
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

    /** Completes with the body of a complete response, or with the failure. */
    private static final class BodyCollector implements HttpCall.Listener {
        private final ByteArrayOutputStream body = new ByteArrayOutputStream();
        private final CompletableFuture<String> end = new CompletableFuture<>();

        @Override
        public boolean head(int status, Headers headers) {
            return true;
        }

        @Override
        public void body(byte[] piece) {
            body.writeBytes(piece);
        }

        @Override
        public void complete() {
            end.complete("complete: " + body.toString(StandardCharsets.ISO_8859_1));
        }

        @Override
        public void failed(HttpCall.Failure failure) {
            end.complete(failure.toString());
        }

        String awaitEnd() throws Exception {
            return end.get(TestPeer.TIMEOUT_S, TimeUnit.SECONDS);
        }
    }

    private BodyCollector startCall(int bodyBytes) {
        String head = "POST /x HTTP/1.1\r\nContent-Length: " + bodyBytes + "\r\n\r\n";
        BodyCollector response = new BodyCollector();
        HttpCall call = new HttpCall(
                loop,
                server.address(),
                new ConnectionPool(loop, 0, Double.POSITIVE_INFINITY),
                ByteBuffer.wrap(head.getBytes(StandardCharsets.ISO_8859_1)),
                ByteBuffer.allocate(bodyBytes),
                response);
        loop.execute(() -> call.start(CONNECT_TIMEOUT_MS));
        return response;
    }

    @ParameterizedTest
    @EnumSource(ConnectionEnd.class)
    void aResponseThatEndsBeforeItsRequestIsSentIsBroken(ConnectionEnd connectionEnd) throws Exception {
        assertBroken(LONG_BODY_BYTES, connectionEnd);
    }

    @ParameterizedTest
    @EnumSource(ConnectionEnd.class)
    void aRequestThatOnlyThisMachineHasReceivedIsNotSent(ConnectionEnd connectionEnd) throws Exception {
        assertBroken(DEFAULT_SEND_BUFFER_BYTES, connectionEnd);
    }

    private void assertBroken(int requestBodyBytes, ConnectionEnd connectionEnd) throws Exception {
        for (int repetition = 0; repetition < REPETITIONS; repetition++) {
            BodyCollector response = startCall(requestBodyBytes);
            try (TestPeer peer = server.nextConnection()) {
                peer.readHead();
                peer.send(PART);
                connectionEnd.apply(peer);
                assertEquals("BROKEN", response.awaitEnd(), "repetition " + repetition);
            }
        }
    }

    @ParameterizedTest
    @ValueSource(ints = {0, SHORT_BODY_BYTES, LONG_BODY_BYTES})
    void aResponseThatEndsAfterItsRequestWasReadIsComplete(int bodyBytes) throws Exception {
        BodyCollector response = startCall(bodyBytes);
        try (TestPeer peer = server.nextConnection()) {
            peer.read();
            peer.send(PART + " it and the rest");
            peer.close();
            assertEquals("complete: part of it and the rest", response.awaitEnd());
        }
    }

    /** A server may respond while it reads, for example to a request whose body it converts. */
    @Test
    void aResponseThatStartsBeforeItsRequestWasReadIsCompleteAtItsEnd() throws Exception {
        BodyCollector response = startCall(LONG_BODY_BYTES);
        try (TestPeer peer = server.nextConnection()) {
            peer.readHead();
            peer.send(PART);
            peer.readBytes(LONG_BODY_BYTES);
            peer.send(" it and the rest");
            peer.closeOutput();
            assertEquals("complete: part of it and the rest", response.awaitEnd());
        }
    }
}
