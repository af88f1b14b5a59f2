package dewplank.http;

import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.regex.Pattern;

/**
 * Incremental parser of HTTP/1.1 messages, one at a time. It consumes no byte after the end of a message; further bytes
 * stay in the buffer for the next message.
 */
public abstract class MessageParser {
    public static final int MAX_HEAD_BYTES = 16 * 1024;
    public static final int MAX_BODY_BYTES = 64 * 1024;
    private static final int MAX_CHUNK_LINE_BYTES = 256;
    /** Maximum number of header fields: each takes far more memory than its bytes on the wire. */
    static final int MAX_FIELDS = 256;
    /** Memory of a header field in addition to its bytes: a record, two strings and their arrays. */
    private static final int FIELD_OVERHEAD_BYTES = 128;

    private static final int LINE_CAPACITY_BYTES = 128;
    private static final Pattern LENGTH = Pattern.compile("[0-9]{1,18}");

    private enum State {
        START,
        FIELDS,
        FIXED,
        CHUNK_SIZE,
        CHUNK,
        CHUNK_END,
        TRAILERS,
        TO_THE_END,
        DONE
    }

    private int maxBodyBytes;
    private int maxHeadBytes = MAX_HEAD_BYTES;
    private State state = State.START;
    private ByteArrayOutputStream line = new ByteArrayOutputStream(LINE_CAPACITY_BYTES);
    private final BodyBuffer body = new BodyBuffer();
    private Headers headers = new Headers();
    private int headBytes;
    private long bodyBytesLeft;

    MessageParser(int maxBody) {
        this.maxBodyBytes = maxBody;
    }

    /** Consumes bytes up to the end of the message; returns whether the message is complete. */
    public final boolean feed(ByteBuffer in) throws BadMessageException {
        while (state != State.DONE && in.hasRemaining()) {
            switch (state) {
                case FIXED, CHUNK, TO_THE_END -> readBody(in);
                default -> readLine(in);
            }
        }
        return state == State.DONE;
    }

    /** Signals that the peer has closed its output; returns whether the message is complete. */
    public final boolean endOfInput() {
        if (state == State.TO_THE_END) {
            state = State.DONE;
        }
        return state == State.DONE;
    }

    /** Whether part of a message has been read, but not all of it. */
    public final boolean hasBegun() {
        return state != State.DONE && (state != State.START || headBytes > 0);
    }

    public final boolean isHeadRead() {
        return state != State.START && state != State.FIELDS;
    }

    /** Sets the maximum body size of the next message. */
    public final void maxBodyBytes(int bytes) {
        maxBodyBytes = bytes;
    }

    /** Sets the maximum head size of the next message, including its start line. */
    public final void maxHeadBytes(int bytes) {
        maxHeadBytes = bytes;
    }

    /** Prepares the parser for the next message. */
    public void reset() {
        state = State.START;
        headers = new Headers();
        resetLine();
        body.clear();
        headBytes = 0;
        bodyBytesLeft = 0;
    }

    public final Headers headers() {
        return headers;
    }

    /** Returns and removes the part of the body that has been read, so that a stream can be read in pieces. */
    public final byte[] takeBody() {
        return body.take();
    }

    /** Memory in bytes that the received part of the message uses. */
    public final long heldBytes() {
        return headBytes + (long) FIELD_OVERHEAD_BYTES * headers.size() + body.capacity();
    }

    /** Long lines are rare, so that their array is not kept for the next one. */
    private void resetLine() {
        if (line.size() > LINE_CAPACITY_BYTES) {
            line = new ByteArrayOutputStream(LINE_CAPACITY_BYTES);
        } else {
            line.reset();
        }
    }

    /** Prefix of all valid start lines: input that differs is rejected without waiting for a line end. */
    abstract String startLinePrefix();

    abstract void parseStartLine(String text) throws BadMessageException;

    abstract boolean isRequest();

    /** Whether the message has no body, regardless of its header fields. */
    abstract boolean isWithoutBody();

    /** Whether the message is an interim response (1xx), which is discarded. */
    abstract boolean isInterim();

    private void readLine(ByteBuffer in) throws BadMessageException {
        boolean inChunks = state == State.CHUNK_SIZE || state == State.CHUNK_END;
        while (in.hasRemaining()) {
            byte b = in.get();
            if (!inChunks && ++headBytes > maxHeadBytes || inChunks && line.size() > MAX_CHUNK_LINE_BYTES) {
                throw new BadMessageException(431, "the head is too long");
            }
            if (b != '\n') {
                line.write(b);
                boolean lineEnd = b == '\r' && line.size() == 1;
                if (state == State.START
                        && !lineEnd
                        && line.size() <= startLinePrefix().length()
                        && b != startLinePrefix().charAt(line.size() - 1)) {
                    throw new BadMessageException(400, "the start line is malformed");
                }
                continue;
            }
            String text = line.toString(StandardCharsets.ISO_8859_1);
            resetLine();
            handleLine(text.endsWith("\r") ? text.substring(0, text.length() - 1) : text);
            return;
        }
    }

    private void handleLine(String text) throws BadMessageException {
        switch (state) {
            case START -> {
                if (text.isEmpty()) { // an empty line between messages is ignored
                    headBytes = 0;
                    return;
                }
                parseStartLine(text);
                state = State.FIELDS;
            }
            case FIELDS -> {
                if (text.isEmpty()) {
                    handleEndOfHead();
                } else {
                    addField(text);
                }
            }
            case CHUNK_SIZE -> {
                bodyBytesLeft = parseChunkSize(text);
                state = bodyBytesLeft == 0 ? State.TRAILERS : State.CHUNK;
            }
            case CHUNK_END -> {
                if (!text.isEmpty()) {
                    throw new BadMessageException(400, "a chunk does not end where it should");
                }
                state = State.CHUNK_SIZE;
            }
            case TRAILERS -> state = text.isEmpty() ? State.DONE : State.TRAILERS;
            default -> throw new IllegalStateException("no line is expected in state " + state);
        }
    }

    private void addField(String text) throws BadMessageException {
        int colon = text.indexOf(':');
        String name = colon < 0 ? "" : text.substring(0, colon);
        if (!isToken(name)) { // also rejects folded lines and whitespace before the colon
            throw new BadMessageException(400, "a header field is malformed");
        }
        String value = text.substring(colon + 1).strip();
        for (int i = 0; i < value.length(); i++) {
            char c = value.charAt(i);
            if (c < ' ' && c != '\t' || c == 127) {
                throw new BadMessageException(400, "a header field holds a control character");
            }
        }
        if (headers.size() == MAX_FIELDS) {
            throw new BadMessageException(431, "the head has too many fields");
        }
        headers.add(name, value);
    }

    static boolean isToken(String text) {
        for (int i = 0; i < text.length(); i++) {
            char c = text.charAt(i);
            if (c <= ' ' || c >= 127 || "\"(),/:;<=>?@[\\]{}".indexOf(c) >= 0) {
                return false;
            }
        }
        return !text.isEmpty();
    }

    private void handleEndOfHead() throws BadMessageException {
        String length = headers.get("Content-Length");
        String coding = headers.get("Transfer-Encoding");
        if (length != null && coding != null) { // the end of the message is ambiguous, which allows request smuggling
            throw new BadMessageException(400, "both Content-Length and Transfer-Encoding");
        }
        if (isInterim()) {
            reset();
        } else if (isWithoutBody()) {
            state = State.DONE;
        } else if (coding != null) {
            if (!coding.equalsIgnoreCase("chunked")) {
                throw new BadMessageException(501, "unknown Transfer-Encoding");
            }
            state = State.CHUNK_SIZE;
        } else if (length != null) {
            bodyBytesLeft = parseLength(length);
            state = bodyBytesLeft == 0 ? State.DONE : State.FIXED;
        } else {
            state = isRequest() ? State.DONE : State.TO_THE_END;
        }
    }

    /** Also rejects repeated fields, whose joined value, such as "5, 5", is not a number. */
    private long parseLength(String text) throws BadMessageException {
        if (!LENGTH.matcher(text).matches()) {
            throw new BadMessageException(400, "Content-Length is not one number");
        }
        long length = Long.parseLong(text);
        checkBodySize(length);
        return length;
    }

    private long parseChunkSize(String text) throws BadMessageException {
        int end = text.indexOf(';');
        String digits = (end < 0 ? text : text.substring(0, end)).strip();
        if (!digits.matches("[0-9a-fA-F]{1,8}")) {
            throw new BadMessageException(400, "a chunk's size is malformed");
        }
        long size = Long.parseLong(digits, 16);
        checkBodySize(body.size() + size);
        return size;
    }

    private void checkBodySize(long size) throws BadMessageException {
        if (size > maxBodyBytes) {
            throw new BadMessageException(413, "the body is too long");
        }
    }

    private void readBody(ByteBuffer in) throws BadMessageException {
        int n = state == State.TO_THE_END ? in.remaining() : (int) Math.min(bodyBytesLeft, in.remaining());
        checkBodySize(body.size() + (long) n);
        body.append(in, n, state == State.FIXED ? bodyBytesLeft : Long.MAX_VALUE);
        if (state != State.TO_THE_END) {
            bodyBytesLeft -= n;
            if (bodyBytesLeft == 0) {
                state = state == State.FIXED ? State.DONE : State.CHUNK_END;
            }
        }
    }
}
