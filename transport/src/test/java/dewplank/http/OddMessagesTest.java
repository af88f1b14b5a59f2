package dewplank.http;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.sun.management.ThreadMXBean;
import java.lang.management.ManagementFactory;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Requests inside the limits of size, made of many short or odd parts. */
class OddMessagesTest {
    private static final String START = "POST /api HTTP/1.1\r\n";
    private static final String CHUNKED = START + "Transfer-Encoding: chunked\r\n\r\n";
    private static final int HEAD_BYTES = 15_500;
    private static final int FIRST_ALLOCATIONS_BYTES = 1_200;

    private static RequestParser parse(String message) throws BadMessageException {
        RequestParser parser = new RequestParser();
        assertTrue(parser.feed(ByteBuffer.wrap(message.getBytes(StandardCharsets.ISO_8859_1))), message);
        return parser;
    }

    private static int rejected(String message) {
        return assertThrows(BadMessageException.class, () -> parse(message), message)
                .status();
    }

    private static String repeated(String line, int headBytes) {
        return START + line.repeat(headBytes / line.length()) + "\r\n";
    }

    @ParameterizedTest
    @ValueSource(strings = {"a:\r\n", "a:\n", "a: ,\r\n", "Cookie: a=\r\n", "a: b\r\n"})
    void eachOfManyShortFieldsIsForwarded(String line) throws BadMessageException {
        List<Headers.Field> fields = parse(repeated(line, HEAD_BYTES)).headers().endToEnd();
        assertEquals(HEAD_BYTES / line.length(), fields.size());
        String name = line.substring(0, line.indexOf(':'));
        String value = line.substring(line.indexOf(':') + 1).strip();
        fields.forEach(field -> assertEquals(new Headers.Field(name, value), field));
    }

    @Test
    void manyConnectionFieldsNameFieldsThatAreNotForwarded() throws BadMessageException {
        String head =
                START + "Connection: aa\r\n".repeat(500) + "Connection: bb, Cc\r\nAA: 1\r\ncc: 2\r\ndd: 3\r\n\r\n";
        assertEquals(
                List.of(new Headers.Field("dd", "3")), parse(head).headers().endToEnd());
    }

    /** The memory of a head is a small multiple of its bytes, however short the fields are. */
    @ParameterizedTest
    @ValueSource(strings = {"a:\r\n", "a:\n", "Connection: aa\r\n", "b: cccccccccccccccccccccccccccccccc\r\n"})
    void aHeadTakesAboutAsMuchMemoryAsOnTheWire(String line) throws BadMessageException {
        RequestParser parser = new RequestParser();
        String half = START + line.repeat(HEAD_BYTES / line.length());
        assertFalse(parser.feed(ByteBuffer.wrap(half.getBytes(StandardCharsets.ISO_8859_1))));
        assertTrue(parser.heldBytes() <= 2 * HEAD_BYTES, "held " + parser.heldBytes());
        assertTrue(parser.heldBytes() >= HEAD_BYTES / 3, "held " + parser.heldBytes());
    }

    @Test
    void aLongLineIsCountedBeforeItEnds() throws BadMessageException {
        RequestParser parser = new RequestParser();
        String half = START + "b: " + "x".repeat(HEAD_BYTES);
        assertFalse(parser.feed(ByteBuffer.wrap(half.getBytes(StandardCharsets.ISO_8859_1))));
        assertTrue(parser.heldBytes() >= HEAD_BYTES, "held " + parser.heldBytes());
        assertTrue(parser.heldBytes() <= 2 * HEAD_BYTES, "held " + parser.heldBytes());
    }

    /** The memory that is allocated stands for the work: it does not depend on the machine's speed. */
    @ParameterizedTest
    @ValueSource(strings = {"a:\r\n", "Connection: a\r\n", "Connection: a,b,c,d,e,f\r\n", "Cookie: a=\r\n"})
    void theWorkOfARequestGrowsInStepWithItsBytes(String line) throws BadMessageException {
        allocatedBy(repeated(line, HEAD_BYTES)); // loads classes
        long half = allocatedBy(repeated(line, HEAD_BYTES / 2));
        long whole = allocatedBy(repeated(line, HEAD_BYTES));
        assertTrue(whole < 3 * half, half + " and " + whole + " bytes");
        assertTrue(whole < 200L * HEAD_BYTES, whole + " bytes");
    }

    private static long allocatedBy(String message) throws BadMessageException {
        ThreadMXBean threads = (ThreadMXBean) ManagementFactory.getThreadMXBean();
        long before = threads.getThreadAllocatedBytes(Thread.currentThread().getId());
        Headers headers = parse(message).headers();
        headers.endToEnd();
        headers.containsToken("Connection", "close");
        headers.get("Cookie");
        return threads.getThreadAllocatedBytes(Thread.currentThread().getId()) - before;
    }

    @Test
    void chunksOfOneByteAllocateNothingEach() throws BadMessageException {
        String chunks = "1\r\nx\r\n".repeat(60_000);
        ByteBuffer bytes = ByteBuffer.wrap((CHUNKED + chunks).getBytes(StandardCharsets.ISO_8859_1));
        RequestParser parser = new RequestParser();
        ThreadMXBean threads = (ThreadMXBean) ManagementFactory.getThreadMXBean();
        long before = threads.getThreadAllocatedBytes(Thread.currentThread().getId());
        assertFalse(parser.feed(bytes));
        long allocated = threads.getThreadAllocatedBytes(Thread.currentThread().getId()) - before;
        assertTrue(allocated < 4 * 60_000, allocated + " bytes");
        assertTrue(parser.heldBytes() < 2 * 60_000, "held " + parser.heldBytes());
    }

    @Test
    void extensionsOfChunksAreDiscarded() throws BadMessageException {
        String extension = ";" + "e".repeat(400);
        String message = CHUNKED + "1 ;x=\"y\"\r\na\r\n0002" + extension + "\nbc\n0" + extension + "\r\n\r\n";
        assertArrayEquals(
                "abc".getBytes(StandardCharsets.US_ASCII), parse(message).takeBody());
    }

    @Test
    void trailersMayBeAsLongAsTheHead() throws BadMessageException {
        String trailers = "a: b\r\n".repeat(HEAD_BYTES / 6);
        assertEquals(0, parse(CHUNKED + "0\r\n" + trailers + "\r\n").takeBody().length);
        assertEquals(431, rejected(CHUNKED + "0\r\n" + trailers + trailers + "\r\n"));
        assertEquals(431, rejected(CHUNKED + "1;" + "e".repeat(2 * HEAD_BYTES)));
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "\r\n",
                ";x\r\n",
                "1 2\r\n",
                "1\r2\r\n",
                "g\r\n",
                "123456789\r\n",
                "-1\r\n",
                "\u00e9\r\n",
                "1\r\nab\r\n",
                "1\r\na\r\r\n",
                "1\r\na2\r\n"
            })
    void malformedChunksAreRejected(String chunk) {
        assertEquals(400, rejected(CHUNKED + chunk));
    }

    /** The body is the same however it is cut into pieces, and takes no more memory than its bytes and a segment. */
    @ParameterizedTest
    @ValueSource(ints = {1, 7, 1_000, 8_192, 70_000})
    void aLongBodyIsReadInPieces(int pieceBytes) throws BadMessageException {
        byte[] body = new byte[300_000];
        for (int i = 0; i < body.length; i++) {
            body[i] = (byte) (i * 31 + (i >> 8));
        }
        RequestParser parser = new RequestParser(body.length);
        parser.feed(ByteBuffer.wrap(
                (START + "Content-Length: " + body.length + "\r\n\r\n").getBytes(StandardCharsets.US_ASCII)));
        for (int start = 0; start < body.length; start += pieceBytes) {
            int length = Math.min(pieceBytes, body.length - start);
            assertEquals(start + length == body.length, parser.feed(ByteBuffer.wrap(body, start, length)));
            assertTrue(parser.heldBytes() <= 2L * (start + length) + FIRST_ALLOCATIONS_BYTES);
            assertTrue(parser.heldBytes() <= body.length + FIRST_ALLOCATIONS_BYTES);
        }
        assertArrayEquals(body, parser.takeBody());
    }
}
