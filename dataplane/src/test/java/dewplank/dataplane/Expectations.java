package dewplank.dataplane;

import static dewplank.dataplane.ServerAnswers.event;
import static dewplank.dataplane.ServerAnswers.sendStream;
import static dewplank.dataplane.ServerAnswers.serve;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dewplank.exchange.ScriptedServer.Call;
import dewplank.exchange.Wire;
import java.io.IOException;

/** What clients must get, in one step with the server's answer where there is one. */
final class Expectations {
    private Expectations() {}

    /** The server answers, and the client gets that answer's body. */
    static void assertServed(Call call, Wire client, String body) throws IOException {
        serve(call, body);
        assertEquals(body, client.read().body());
    }

    /** The server sends a stream of one event, and the client gets it as the complete body of its answer. */
    static void assertStreamed(Call decode, Wire client, int eventId) throws IOException {
        sendStream(decode, eventId);
        assertEquals(event(eventId), client.read().body());
    }

    /** The server sends a stream of one event, and the client gets it as the rest of a body that has begun. */
    static void assertResumed(Call decode, Wire client, int eventId) throws IOException {
        sendStream(decode, eventId);
        assertEquals(event(eventId), client.readChunk());
        assertEquals("", client.readChunk());
    }

    /** 503 with Retry-After: the request has not run. */
    static void assertRejected(Wire.Message answer) {
        assertEquals(503, answer.status());
        assertTrue(Double.parseDouble(answer.header("Retry-After")) > 0);
        assertNull(answer.header("X-Dewplank-Server-Seal"));
    }

    /** What comes before the connection ends is no end of the body and no second head. */
    static void assertBrokenOff(Wire client) throws IOException {
        String received = client.readToEnd();
        assertFalse(received.endsWith("0\r\n\r\n"), received);
        assertFalse(received.contains("HTTP/1.1"), received);
    }
}
