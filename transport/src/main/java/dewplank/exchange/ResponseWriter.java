package dewplank.exchange;

import dewplank.http.Headers;
import dewplank.http.MessageWriter;
import dewplank.net.Connection;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.List;

/**
 * Writes the responses of an {@link InboundConnection}, complete or as a stream of parts. Used on the loop's thread
 * only.
 */
final class ResponseWriter {
    private static final byte[] CRLF = {'\r', '\n'};
    private static final byte[] LAST_CHUNK = {'0', '\r', '\n', '\r', '\n'};
    private static final int NO_CONTENT = 204;
    private static final int NOT_MODIFIED = 304;

    private final Connection connection;
    private boolean headOnly; // the request is a HEAD: the client would read a body as the next response
    private boolean streaming;
    private boolean streamWithoutBody;
    private boolean chunked;

    ResponseWriter(Connection connection) {
        this.connection = connection;
    }

    /** Prepares for the response to a request with this method. */
    void expectResponseTo(String method) {
        headOnly = method.equals("HEAD");
    }

    /** Writes a complete response. */
    void write(int status, List<Headers.Field> headers, byte[] body, boolean isLast) {
        MessageWriter head =
                MessageWriter.response(status).headers(headers).header("Connection", isLast ? "close" : null);
        if (isWithoutBody(status)) {
            write(head.noBody());
            return;
        }
        MessageWriter.Message message = head.message(body);
        write(message.head());
        if (message.body().hasRemaining()) {
            write(message.body());
        }
    }

    private void write(ByteBuffer bytes) {
        connection.write(bytes, () -> {});
    }

    /** Whether the response ends with its head (RFC 9112, section 6.3). */
    private boolean isWithoutBody(int status) {
        return headOnly || status == NO_CONTENT || status == NOT_MODIFIED;
    }

    /**
     * Starts a response whose body follows in parts.
     *
     * @param contentLength the value of the field; null to send the parts as chunks
     */
    void startStream(int status, List<Headers.Field> headers, String contentLength, boolean isLast) {
        streaming = true;
        streamWithoutBody = isWithoutBody(status);
        chunked = !streamWithoutBody && contentLength == null;
        write(MessageWriter.response(status)
                .headers(headers)
                .header("Content-Length", streamWithoutBody ? null : contentLength)
                .header("Transfer-Encoding", chunked ? "chunked" : null)
                .header("Connection", isLast ? "close" : null)
                .noBody());
    }

    /** Whether a response in parts is started and not ended. */
    boolean isStreaming() {
        return streaming;
    }

    /** Writes the next part of the body; {@code onWritten} runs once the system has accepted it. */
    void writePart(byte[] bytes, Runnable onWritten) {
        if (bytes.length > 0 && !streamWithoutBody) {
            connection.write(chunked ? chunk(bytes) : ByteBuffer.wrap(bytes), onWritten);
        }
    }

    private static ByteBuffer chunk(byte[] bytes) {
        byte[] size = Integer.toHexString(bytes.length).getBytes(StandardCharsets.US_ASCII);
        return ByteBuffer.allocate(size.length + bytes.length + 2 * CRLF.length)
                .put(size)
                .put(CRLF)
                .put(bytes)
                .put(CRLF)
                .flip();
    }

    /** Ends the body of a response in parts. */
    void endStream() {
        if (chunked) {
            write(ByteBuffer.wrap(LAST_CHUNK));
        }
    }

    /** Prepares for the next request. */
    void reset() {
        headOnly = false;
        streaming = false;
        chunked = false;
    }
}
