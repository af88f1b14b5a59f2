package dewplank.sidecar;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertSame;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dewplank.sidecar.LoopbackNetwork.Client;
import dewplank.sidecar.LoopbackNetwork.ReceivedRequest;
import java.io.IOException;

/** Assertions on responses and on the ends of connections. */
final class ResponseAssertions {
    private static final int STATUS_LINE_START = "HTTP/1.1 200".length();

    private ResponseAssertions() {}

    static void assertStatus(String status, String answer) {
        assertEquals("HTTP/1.1 " + status, answer.substring(0, Math.min(STATUS_LINE_START, answer.length())), answer);
    }

    /** The next response has this status and announces the close of the connection, which follows. */
    static void assertLastResponse(Client client, String status) throws IOException {
        String answer = client.read();
        assertStatus(status, answer);
        assertTrue(answer.contains("Connection: close\r\n"), answer);
        assertNull(client.read());
    }

    /** {@code end} is the end of the connection on which the request came. */
    static void assertConnectionEnd(ReceivedRequest request, ReceivedRequest end) {
        assertSame(request.connection(), end.connection());
        assertNull(end.message());
    }
}
