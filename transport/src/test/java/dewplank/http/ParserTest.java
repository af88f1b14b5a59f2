package dewplank.http;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Which messages the parsers accept as complete, and the status with which they reject others. */
class ParserTest {
    private static final String POST = "POST /api?x=1 HTTP/1.1\r\nHost: a\r\nX-Qos: menu-read\r\n";

    private static ByteBuffer bytes(String text) {
        return ByteBuffer.wrap(text.getBytes(StandardCharsets.ISO_8859_1));
    }

    private static int status(String request) {
        return assertThrows(BadMessageException.class, () -> new RequestParser().feed(bytes(request)), request)
                .status();
    }

    @Test
    void aRequestIsCompleteOnlyAfterItsLastByte() throws BadMessageException {
        for (String body : List.of(
                "Content-Length: 3\r\n\r\nabc",
                "Transfer-Encoding: chunked\r\n\r\n1\r\na\r\n2;x=y\r\nbc\r\n0\r\nT: 1\r\n\r\n")) {
            RequestParser parser = new RequestParser();
            ByteBuffer all = bytes(POST + body);
            while (all.remaining() > 1) {
                assertFalse(parser.feed(ByteBuffer.wrap(new byte[] {all.get()})));
            }
            assertTrue(parser.feed(all));
            assertEquals("/api?x=1", parser.target());
            assertEquals("menu-read", parser.headers().get("x-qos"));
            assertEquals("abc", new String(parser.takeBody(), StandardCharsets.US_ASCII));
        }
    }

    @Test
    void bytesAfterTheMessageStayInTheBuffer() throws BadMessageException {
        RequestParser parser = new RequestParser();
        ByteBuffer two = bytes(POST + "\r\nGET /b HTTP/1.1\r\n\r\n");
        assertTrue(parser.feed(two));
        assertTrue(two.hasRemaining());
        parser.reset();
        assertTrue(parser.feed(two));
        assertEquals("/b", parser.target());
    }

    /** If two ways to determine the end of a message disagree, a request could be smuggled inside another one. */
    @Test
    void ambiguousAndMalformedRequestsAreRejectedWithTheirStatus() {
        assertEquals(400, status(POST + "Content-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n"));
        assertEquals(400, status(POST + "Content-Length: 3\r\nContent-Length: 3\r\n\r\n"));
        assertEquals(400, status(POST + "Content-Length: -3\r\n\r\n"));
        assertEquals(400, status(POST + "Content-Length : 3\r\n\r\n"));
        assertEquals(400, status(POST + " folded: 3\r\n\r\n"));
        assertEquals(400, status("POST  /api HTTP/1.1\r\n"));
        assertEquals(400, status(POST + "Transfer-Encoding: chunked\r\n\r\nzz\r\n"));
        assertEquals(501, status(POST + "Transfer-Encoding: gzip\r\n\r\n"));
        assertEquals(505, status("GET / HTTP/2.0\r\n"));
        assertEquals(413, status(POST + "Content-Length: 65537\r\n\r\n"));
        assertEquals(413, status(POST + "Transfer-Encoding: chunked\r\n\r\n10001\r\n"));
        assertEquals(431, status(POST + "X: " + "y".repeat(MessageParser.MAX_HEAD_BYTES)));
    }

    @Test
    void aResponseWithoutALengthEndsWithTheConnection() throws BadMessageException {
        ResponseParser parser = new ResponseParser(100);
        assertFalse(parser.feed(bytes("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nX: 1\r\n\r\nabc")));
        assertEquals(200, parser.status());
        assertFalse(parser.keepAlive());
        assertTrue(parser.endOfInput());
    }

    /** Malformed input may never contain a line end; waiting for one would use up the request's time. */
    @Test
    void aMalformedResponseIsDetectedWithoutWaitingForALineEnd() throws BadMessageException {
        for (String malformed : new String[] {"x", "HTTP/2", "\u0000\u0001"}) {
            assertThrows(BadMessageException.class, () -> new ResponseParser(100).feed(bytes(malformed)));
        }
        assertFalse(new ResponseParser(100).feed(bytes("\r\nHTTP/1")));
    }

    @Test
    void aTruncatedResponseIsNotComplete() throws BadMessageException {
        ResponseParser parser = new ResponseParser(100);
        assertFalse(parser.feed(bytes("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nabc")));
        assertFalse(parser.endOfInput());
    }

    @Test
    void hopByHopFieldsAreNotForwarded() throws BadMessageException {
        RequestParser parser = new RequestParser();
        parser.feed(bytes(POST + "Connection: close, X-Local\r\nX-Local: 1\r\nExpect: 100-continue\r\n\r\n"));
        assertEquals(
                List.of(new Headers.Field("X-Qos", "menu-read")),
                parser.headers().endToEnd());
    }
}
