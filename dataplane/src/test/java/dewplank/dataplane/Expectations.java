package dewplank.dataplane;

import static dewplank.dataplane.ServerResponses.event;
import static dewplank.dataplane.ServerResponses.sendStream;
import static dewplank.dataplane.ServerResponses.serve;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dewplank.exchange.ScriptedServer.Call;
import dewplank.exchange.TestPeer;
import java.io.IOException;

/** Assertions on clients' responses, some of which send the server's response first. */
final class Expectations {
    private Expectations() {}

    /** The server responds, and the client receives the body of that response. */
    static void assertServed(Call call, TestPeer client, String body) throws IOException {
        serve(call, body);
        assertEquals(body, client.read().body());
    }

    /** The server sends a stream of one event, and the client receives it as the complete body of its response. */
    static void assertStreamed(Call decode, TestPeer client, int eventId) throws IOException {
        sendStream(decode, eventId);
        assertEquals(event(eventId), client.read().body());
    }

    /** The server sends a stream of one event, and the client receives it as the rest of a started body. */
    static void assertResumed(Call decode, TestPeer client, int eventId) throws IOException {
        sendStream(decode, eventId);
        assertEquals(event(eventId), client.readChunk());
        assertEquals("", client.readChunk());
    }

    /** The response is a 503 with Retry-After, which means that the request has not run. */
    static void assertRejected(TestPeer.Message response) {
        assertEquals(503, response.status());
        assertTrue(Double.parseDouble(response.header("Retry-After")) > 0);
        assertNull(response.header("X-Dewplank-Server-Seal"));
    }

    /** The client's connection is closed without an end of the body and without a second head. */
    static void assertAborted(TestPeer client) throws IOException {
        String received = client.readToEnd();
        assertFalse(received.endsWith("0\r\n\r\n"), received);
        assertFalse(received.contains("HTTP/1.1"), received);
    }
}
