package dewplank.http;

import java.nio.charset.StandardCharsets;
import java.util.Arrays;

/** The received part of a line of a message's head, in ISO 8859-1 and without its line end. */
final class LineBuffer {
    private static final int MIN_CAPACITY_BYTES = 128;

    private byte[] bytes = new byte[MIN_CAPACITY_BYTES];
    private int size;

    /** Number of bytes, including a carriage return that may end the line. */
    int size() {
        return size;
    }

    /** Memory in bytes that the buffer takes in addition to that of an empty one. */
    int heldBytes() {
        return bytes.length - MIN_CAPACITY_BYTES;
    }

    void append(byte next) {
        if (size == bytes.length) {
            bytes = Arrays.copyOf(bytes, bytes.length + bytes.length / 2);
        }
        bytes[size++] = next;
    }

    /** Long lines are rare, so that their array is not kept for the next one. */
    void clear() {
        size = 0;
        if (bytes.length > MIN_CAPACITY_BYTES) {
            bytes = new byte[MIN_CAPACITY_BYTES];
        }
    }

    /** Length of the line without a carriage return at its end. */
    int length() {
        return size > 0 && bytes[size - 1] == '\r' ? size - 1 : size;
    }

    /** The line without a carriage return at its end. */
    String text() {
        return new String(bytes, 0, length(), StandardCharsets.ISO_8859_1);
    }

    /** Adds the line as a field (RFC 9110, section 5; folded lines and whitespace before the colon are rejected). */
    void addFieldTo(Headers headers) throws BadMessageException {
        int end = length();
        int colon = 0;
        while (colon < end && Tokens.isTokenCharacter(bytes[colon])) {
            colon++;
        }
        if (colon == 0 || colon == end || bytes[colon] != ':') {
            throw new BadMessageException(400, "a header field is malformed");
        }
        int valueStart = colon + 1;
        while (valueStart < end && isWhitespace(bytes[valueStart])) {
            valueStart++;
        }
        while (end > valueStart && isWhitespace(bytes[end - 1])) {
            end--;
        }
        for (int i = valueStart; i < end; i++) {
            if (isControlCharacter(bytes[i])) {
                throw new BadMessageException(400, "a header field holds a control character");
            }
        }
        headers.add(bytes, 0, colon, bytes, valueStart, end - valueStart);
    }

    private static boolean isWhitespace(byte character) {
        return character == ' ' || character == '\t';
    }

    private static boolean isControlCharacter(byte character) {
        return character >= 0 && character < ' ' && character != '\t' || character == 127;
    }
}
