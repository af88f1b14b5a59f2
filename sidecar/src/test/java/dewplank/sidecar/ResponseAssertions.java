package dewplank.sidecar;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertSame;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dewplank.sidecar.LoopbackNetwork.Client;
import dewplank.sidecar.LoopbackNetwork.ReceivedRequest;
import java.io.IOException;

/** Assertions on responses and on closed connections. */
final class ResponseAssertions {
    private static final int STATUS_LINE_START = "HTTP/1.1 200".length();

    private ResponseAssertions() {}

    static void assertStatus(String status, String response) {
        assertEquals(
                "HTTP/1.1 " + status, response.substring(0, Math.min(STATUS_LINE_START, response.length())), response);
    }

    /** Asserts that the next response has this status and that the connection is closed after it, as announced. */
    static void assertLastResponse(Client client, String status) throws IOException {
        String response = client.read();
        assertStatus(status, response);
        assertTrue(response.contains("Connection: close\r\n"), response);
        assertNull(client.read());
    }

    /** Asserts that {@code end} is the close of the connection on which the request was received. */
    static void assertConnectionEnd(ReceivedRequest request, ReceivedRequest end) {
        assertSame(request.connection(), end.connection());
        assertNull(end.message());
    }
}
