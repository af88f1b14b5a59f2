package dewplank.http;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;

/** Builds a message: a start line, header fields in order, and a body. */
public final class MessageWriter {
    /** Bodies of up to this size are copied behind the head, as two writes cost more than the copy. */
    private static final int MAX_COPIED_BODY_BYTES = 16 * 1024;

    /** A message in two buffers; the second is empty if the first contains the body. */
    public record Message(ByteBuffer head, ByteBuffer body) {}

    private final StringBuilder head = new StringBuilder(256);

    private MessageWriter(String startLine) {
        head.append(startLine).append("\r\n");
    }

    public static MessageWriter request(String method, String target, String host) {
        return new MessageWriter(method + " " + target + " HTTP/1.1").header("Host", host);
    }

    public static MessageWriter response(int status) {
        return new MessageWriter("HTTP/1.1 " + status + " " + reason(status));
    }

    /** Adds a field, unless the value is null. */
    public MessageWriter header(String name, String value) {
        if (value != null) {
            head.append(name).append(": ").append(value).append("\r\n");
        }
        return this;
    }

    public MessageWriter headers(Iterable<Headers.Field> fields) {
        fields.forEach(f -> header(f.name(), f.value()));
        return this;
    }

    /** Returns the complete message with this body and its Content-Length. */
    public ByteBuffer body(byte[] body) {
        header("Content-Length", Integer.toString(body.length));
        return end(body);
    }

    /** Returns the complete message with this body and its Content-Length; a long body is not copied. */
    public Message message(byte[] body) {
        if (body.length <= MAX_COPIED_BODY_BYTES) {
            return new Message(body(body), ByteBuffer.allocate(0));
        }
        header("Content-Length", Integer.toString(body.length));
        return new Message(end(new byte[0]), ByteBuffer.wrap(body));
    }

    /** Returns the complete message, without a body and without a Content-Length. */
    public ByteBuffer noBody() {
        return end(new byte[0]);
    }

    private ByteBuffer end(byte[] body) {
        byte[] start = head.append("\r\n").toString().getBytes(StandardCharsets.ISO_8859_1);
        return ByteBuffer.allocate(start.length + body.length)
                .put(start)
                .put(body)
                .flip();
    }

    /** Memory of the message's buffers in bytes, without a body that is not copied. */
    public static int allocatedBytes(int headBytes, int bodyBytes) {
        return headBytes + (bodyBytes <= MAX_COPIED_BODY_BYTES ? bodyBytes : 0);
    }

    private static String reason(int status) {
        return switch (status) {
            case 100 -> "Continue";
            case 200 -> "OK";
            case 400 -> "Bad Request";
            case 408 -> "Request Timeout";
            case 404 -> "Not Found";
            case 405 -> "Method Not Allowed";
            case 409 -> "Conflict";
            case 412 -> "Precondition Failed";
            case 413 -> "Content Too Large";
            case 421 -> "Misdirected Request";
            case 429 -> "Too Many Requests";
            case 431 -> "Request Header Fields Too Large";
            case 500 -> "Internal Server Error";
            case 501 -> "Not Implemented";
            case 502 -> "Bad Gateway";
            case 503 -> "Service Unavailable";
            case 504 -> "Gateway Timeout";
            case 505 -> "HTTP Version Not Supported";
            default -> "Unknown";
        };
    }
}
