package dewplank.http;

import java.nio.ByteBuffer;
import java.util.regex.Pattern;

/**
 * Incremental parser of HTTP/1.1 messages, one at a time. It consumes no byte after the end of a message; further bytes
 * stay in the buffer for the next message.
 */
public abstract class MessageParser {
    public static final int MAX_HEAD_BYTES = 16 * 1024;
    public static final int MAX_BODY_BYTES = 64 * 1024;
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
    private final LineBuffer line = new LineBuffer();
    private final ChunkSizeParser chunkSize = new ChunkSizeParser();
    private final BodyBuffer body = new BodyBuffer();
    private Headers headers = new Headers();
    /** Bytes of the head, or of the trailers, or of the line before a chunk: each has the same limit. */
    private int lineBytes;

    private boolean isLineEmpty = true;
    private long bodyBytesLeft;

    MessageParser(int maxBody) {
        this.maxBodyBytes = maxBody;
    }

    /** Consumes bytes up to the end of the message; returns whether the message is complete. */
    public final boolean feed(ByteBuffer in) throws BadMessageException {
        while (state != State.DONE && in.hasRemaining()) {
            switch (state) {
                case FIXED, CHUNK, TO_THE_END -> readBody(in);
                case START, FIELDS -> readHead(in);
                default -> readChunkFraming(in.get());
            }
        }
        return state == State.DONE;
    }

    /** Signals that the peer has closed its output; returns whether the message is complete. */
    final boolean endOfInput() {
        if (state == State.TO_THE_END) {
            state = State.DONE;
        }
        return state == State.DONE;
    }

    /** Whether part of a message has been read, but not all of it. */
    public final boolean hasBegun() {
        return state != State.DONE && (state != State.START || lineBytes > 0);
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
        line.clear();
        chunkSize.takeSize();
        body.clear();
        lineBytes = 0;
        isLineEmpty = true;
        bodyBytesLeft = 0;
    }

    public final Headers headers() {
        return headers;
    }

    /** Returns and removes the part of the body that has been read, so that a stream can be read in pieces. */
    public final byte[] takeBody() {
        return body.take();
    }

    /** Size of the part of the body that has been read and not taken. */
    public final int bodyBytes() {
        return body.size();
    }

    /** Memory in bytes that the received part of the message uses. */
    public final long heldBytes() {
        return (long) line.heldBytes() + headers.heldBytes() + body.capacity();
    }

    /** Prefix of all valid start lines: input that differs is rejected without waiting for a line end. */
    abstract String startLinePrefix();

    abstract void parseStartLine(String text) throws BadMessageException;

    abstract boolean isRequest();

    /** Whether the message has no body, regardless of its header fields. */
    abstract boolean isWithoutBody();

    /** Whether the message is an interim response (1xx), which is discarded. */
    abstract boolean isInterim();

    /** Consumes bytes up to the end of the next line of the head. */
    private void readHead(ByteBuffer in) throws BadMessageException {
        while (in.hasRemaining()) {
            byte next = in.get();
            countLineByte();
            if (next == '\n') {
                handleHeadLine();
                return;
            }
            line.append(next);
            if (state == State.START) {
                checkStartLinePrefix(next);
            }
        }
    }

    private void countLineByte() throws BadMessageException {
        if (++lineBytes > maxHeadBytes) {
            throw new BadMessageException(431, "the head is too long");
        }
    }

    private void checkStartLinePrefix(byte next) throws BadMessageException {
        int index = line.size() - 1;
        boolean isLineEnd = next == '\r' && index == 0;
        if (!isLineEnd
                && index < startLinePrefix().length()
                && next != startLinePrefix().charAt(index)) {
            throw new BadMessageException(400, "the start line is malformed");
        }
    }

    private void handleHeadLine() throws BadMessageException {
        boolean isEmpty = line.length() == 0;
        if (state == State.FIELDS && isEmpty) {
            line.clear();
            lineBytes = 0;
            handleEndOfHead();
        } else if (state == State.FIELDS) {
            line.addFieldTo(headers);
            line.clear();
        } else if (isEmpty) { // an empty line between messages is ignored
            line.clear();
            lineBytes = 0;
        } else {
            String startLine = line.text();
            line.clear();
            parseStartLine(startLine);
            state = State.FIELDS;
        }
    }

    private void readChunkFraming(byte next) throws BadMessageException {
        switch (state) {
            case CHUNK_SIZE -> {
                countLineByte();
                if (chunkSize.feed(next)) {
                    startChunk(chunkSize.takeSize());
                }
            }
            case CHUNK_END -> {
                if (next == '\n') {
                    isLineEmpty = true;
                    state = State.CHUNK_SIZE;
                } else if (next != '\r' || !isLineEmpty) {
                    throw new BadMessageException(400, "a chunk does not end where it should");
                } else {
                    isLineEmpty = false; // only a line feed may follow the carriage return
                }
            }
            case TRAILERS -> {
                countLineByte();
                if (next != '\n') {
                    isLineEmpty &= next == '\r';
                } else if (isLineEmpty) {
                    state = State.DONE;
                } else {
                    isLineEmpty = true;
                }
            }
            default -> throw new IllegalStateException("no chunk is expected in state " + state);
        }
    }

    private void startChunk(long size) throws BadMessageException {
        checkBodySize(body.size() + size);
        lineBytes = 0;
        bodyBytesLeft = size;
        state = size == 0 ? State.TRAILERS : State.CHUNK;
    }

    private void handleEndOfHead() throws BadMessageException {
        headers.trim();
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
