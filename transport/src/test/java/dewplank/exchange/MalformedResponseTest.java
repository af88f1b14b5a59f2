package dewplank.exchange;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dewplank.http.BadMessageException;
import dewplank.http.Headers;
import dewplank.http.MessageParser;
import dewplank.http.ResponseParser;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.ValueSource;

/** The parser of responses rejects each malformed one, however its bytes arrive. */
class MalformedResponseTest {
    private static ByteBuffer bytes(String text) {
        return ByteBuffer.wrap(text.getBytes(StandardCharsets.ISO_8859_1));
    }

    @ParameterizedTest
    @EnumSource(MalformedResponse.class)
    void aMalformedResponseIsRejected(MalformedResponse malformed) {
        ResponseParser parser = new ResponseParser(MessageParser.MAX_BODY_BYTES);
        assertThrows(BadMessageException.class, () -> parser.feed(bytes(malformed.withFields(""))));
    }

    @ParameterizedTest
    @EnumSource(MalformedResponse.class)
    void aMalformedResponseInSinglePiecesIsRejected(MalformedResponse malformed) {
        ResponseParser parser = new ResponseParser(MessageParser.MAX_BODY_BYTES);
        assertThrows(BadMessageException.class, () -> {
            for (byte next : malformed.withFields("X-Id: 1\r\n").getBytes(StandardCharsets.ISO_8859_1)) {
                parser.feed(ByteBuffer.wrap(new byte[] {next}));
            }
        });
    }

    @ParameterizedTest
    @ValueSource(strings = {"", " ", " OK", " Not\tso b\u00e4d"})
    void aReasonMayBeEmptyOrHoldTextOfAnyLanguage(String reason) throws BadMessageException {
        ResponseParser parser = new ResponseParser(MessageParser.MAX_BODY_BYTES);
        assertTrue(parser.feed(bytes("HTTP/1.1 200" + reason + "\r\nContent-Length: 0\r\n\r\n")));
        assertEquals(200, parser.status());
    }

    /** The last chunk ends the body. Fields after it are not forwarded, so that a malformed one is not either. */
    @Test
    void fieldsAfterTheLastChunkAreNotForwarded() throws BadMessageException {
        ResponseParser parser = new ResponseParser(MessageParser.MAX_BODY_BYTES);
        String head = "HTTP/1.1 200 OK\r\nX-Id: 1\r\nTransfer-Encoding: chunked\r\n\r\n";
        assertFalse(parser.feed(bytes(head + "5\r\nwhole\r\n0\r\n")));
        assertTrue(parser.feed(bytes("X Bad: 1\r\n\r\n")));
        assertEquals("whole", new String(parser.takeBody(), StandardCharsets.ISO_8859_1));
        assertEquals(List.of(new Headers.Field("X-Id", "1")), parser.headers().endToEnd());
    }
}
