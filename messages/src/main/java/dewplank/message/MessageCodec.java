package dewplank.message;

import io.protostuff.ByteArrayInput;
import io.protostuff.LinkedBuffer;
import io.protostuff.ProtostuffIOUtil;
import io.protostuff.Schema;
import io.protostuff.runtime.RuntimeSchema;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Encodes messages as frames, and decodes frames.
 *
 * <p>A frame consists of the length of the body (four bytes), the number of the message type (one byte), and the body
 * in Protostuff's format. A type's number is its index in the list of types, and a field's number is its position in
 * its class; both ends of a connection must agree on them. Not thread-safe: use one codec per event loop.
 */
public final class MessageCodec {
    /** Maximum length of a body. It must be sufficient for a configuration; operators may submit up to 4 MiB. */
    public static final int MAX_BODY_BYTES = 8 * 1024 * 1024;

    /** The length of the body, followed by the number of the message type. */
    private static final int HEADER_BYTES = Integer.BYTES + 1;

    private static final int BUFFER_BYTES = 1024;
    private static final byte[] NO_BODY = new byte[0];

    private final List<Schema<Object>> schemas = new ArrayList<>();
    private final Map<Class<?>, Integer> typeNumbers = new HashMap<>();
    private final LinkedBuffer buffer = LinkedBuffer.allocate(BUFFER_BYTES);

    /** Creates a codec for these types. */
    public MessageCodec(List<Class<?>> types) {
        for (Class<?> type : types) {
            typeNumbers.put(type, schemas.size());
            schemas.add(schema(type));
        }
    }

    @SuppressWarnings("unchecked")
    private static Schema<Object> schema(Class<?> type) {
        return (Schema<Object>) RuntimeSchema.getSchema(type);
    }

    /**
     * Encodes a message as one frame. The returned buffer is ready to be read.
     *
     * @param message a message of one of the codec's types
     * @throws IllegalArgumentException if the message is of another type, which is a programming error of the caller
     */
    public ByteBuffer encode(Object message) {
        Integer number = typeNumbers.get(message.getClass());
        if (number == null) {
            throw new IllegalArgumentException(
                    "not a message type: " + message.getClass().getName());
        }
        byte[] body;
        try {
            body = ProtostuffIOUtil.toByteArray(message, schemas.get(number), buffer);
        } finally {
            buffer.clear();
        }
        return ByteBuffer.allocate(HEADER_BYTES + body.length)
                .putInt(body.length)
                .put(number.byteValue())
                .put(body)
                .flip();
    }

    private Object decodeBody(int number, byte[] body) throws CorruptFrameException {
        if (number < 0 || number >= schemas.size()) {
            throw new CorruptFrameException("unknown message type number " + number);
        }
        try {
            Schema<Object> schema = schemas.get(number);
            Object message = schema.newMessage();
            ByteArrayInput input = new ByteArrayInput(body, true);
            schema.mergeFrom(new BoundedInput(input), message);
            input.checkLastTagWas(0);
            return message;
        } catch (IOException | RuntimeException | StackOverflowError e) {
            // The bytes come from another process. Protostuff throws many different runtime exceptions for a malformed
            // body, and skips nested groups recursively.
            throw new CorruptFrameException("can't decode the body of the message: " + e);
        }
    }

    /** Returns a decoder for one connection. */
    public Decoder newDecoder() {
        return new Decoder();
    }

    /** Assembles frames from the bytes of one connection, which may be split at any position. */
    public final class Decoder {
        private final ByteBuffer header = ByteBuffer.allocate(HEADER_BYTES);
        private byte[] body = NO_BODY;
        private int bodyBytesRead;

        /**
         * Consumes bytes up to the end of the next frame.
         *
         * @return the frame's message, or null if the buffer ends before the frame is complete; the next call continues
         *     with this frame
         * @throws CorruptFrameException if the frame is not valid; the decoder must not be used again
         */
        public Object decode(ByteBuffer in) throws CorruptFrameException {
            while (header.hasRemaining() && in.hasRemaining()) {
                header.put(in.get());
            }
            if (header.hasRemaining()) {
                return null;
            }
            int length = header.getInt(0);
            if (length < 0 || length > MAX_BODY_BYTES) {
                throw new CorruptFrameException("invalid body length of " + length + " bytes");
            }
            int count = Math.min(in.remaining(), length - bodyBytesRead);
            ensureCapacity(bodyBytesRead + count, length);
            in.get(body, bodyBytesRead, count);
            bodyBytesRead += count;
            if (bodyBytesRead < length) {
                return null;
            }
            byte[] complete = body;
            int number = header.get(Integer.BYTES);
            body = NO_BODY;
            bodyBytesRead = 0;
            header.clear();
            return decodeBody(number, complete);
        }

        /** Grows the body with the bytes that have arrived, since a header may announce bytes that never follow. */
        private void ensureCapacity(int needed, int length) {
            if (needed > body.length) {
                body = Arrays.copyOf(body, Math.min(length, Math.max(needed, 2 * body.length)));
            }
        }

        /** Memory in bytes that the received part of the next frame uses. */
        public long heldBytes() {
            return body.length;
        }
    }
}
