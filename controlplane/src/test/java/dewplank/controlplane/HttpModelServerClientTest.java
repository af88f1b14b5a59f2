package dewplank.controlplane;

import static org.junit.jupiter.api.Assertions.assertEquals;

import dewplank.exchange.ConnectionEnd;
import dewplank.exchange.MalformedResponse;
import dewplank.exchange.OnLoop;
import dewplank.exchange.ScriptedServer;
import dewplank.exchange.TestPeer;
import dewplank.message.Endpoint;
import dewplank.net.EventLoop;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/** Responses of model servers that are malformed or end early are not reported. */
class HttpModelServerClientTest {
    private static final byte[] LONG_ORDER = new byte[16 << 20];

    private final BlockingQueue<String> responses = new LinkedBlockingQueue<>();
    private EventLoop loop;
    private HttpModelServerClient client;

    @BeforeEach
    void setUp() throws IOException {
        loop = new EventLoop();
        client = new HttpModelServerClient(loop);
    }

    @AfterEach
    void tearDown() {
        loop.stop();
    }

    private static Endpoint endpoint(ScriptedServer server) {
        return new Endpoint("i-1", "m", server.addressText(), "z", 4, false, 0, "decode");
    }

    private void recordResponse(int status, byte[] body) {
        responses.add(status + " " + new String(body, StandardCharsets.ISO_8859_1));
    }

    private void requestReport(ScriptedServer server) throws Exception {
        OnLoop.run(loop, () -> client.requestReport(endpoint(server), () -> true, this::recordResponse));
    }

    /** A later report is the first response that is reported. */
    private void assertOnlyNextReportIsReported(ScriptedServer server) throws Exception {
        requestReport(server);
        server.next().peer().respond("200 OK", "", "sound");
        assertEquals("200 sound", responses.poll(TestPeer.TIMEOUT_S, TimeUnit.SECONDS));
    }

    @ParameterizedTest
    @EnumSource(MalformedResponse.class)
    void aMalformedReportIsNotReported(MalformedResponse malformed) throws Exception {
        try (ScriptedServer server = new ScriptedServer()) {
            requestReport(server);
            TestPeer peer = server.next().peer();
            peer.send(malformed.withFields(""));
            peer.awaitClose();
            assertOnlyNextReportIsReported(server);
        }
    }

    @ParameterizedTest
    @EnumSource(ConnectionEnd.class)
    void aResponseThatEndsBeforeItsOrderIsSentIsNotReported(ConnectionEnd connectionEnd) throws Exception {
        try (ScriptedServer reading = new ScriptedServer();
                ScriptedServer raw = ScriptedServer.withoutReading()) {
            OnLoop.run(loop, () -> client.sendOrder(endpoint(raw), LONG_ORDER, () -> true, this::recordResponse));
            TestPeer peer = raw.nextConnection();
            peer.readHead();
            peer.send("HTTP/1.1 200 OK\r\n\r\npart of");
            connectionEnd.apply(peer);
            peer.readToEnd();
            assertOnlyNextReportIsReported(reading);
        }
    }
}
