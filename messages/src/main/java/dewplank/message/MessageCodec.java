package dewplank.message;

import io.protostuff.LinkedBuffer;
import io.protostuff.ProtostuffIOUtil;
import io.protostuff.Schema;
import io.protostuff.runtime.RuntimeSchema;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Encodes messages as frames and decodes them.
 *
 * <p>A frame is the length of the body as four bytes, one byte for the type, and the body in Protostuff's format. The
 * type's number is its index in the list of types, and a field's number is its position in its class; both ends of a
 * connection must agree on them. Not thread-safe: one codec per event loop.
 */
public final class MessageCodec {
    /** The largest body. One configuration has to fit, of which operators may submit up to 4 MiB. */
    public static final int MAX_BODY_BYTES = 8 * 1024 * 1024;

    private static final int HEADER_BYTES = Integer.BYTES + 1;
    private static final int BUFFER_BYTES = 1024;

    private final List<Schema<Object>> schemas = new ArrayList<>();
    private final Map<Class<?>, Integer> typeNumbers = new HashMap<>();
    private final LinkedBuffer buffer = LinkedBuffer.allocate(BUFFER_BYTES);

    /** Builds the schemas of these types. */
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
     * Encodes a message as one frame, ready to be read.
     *
     * @param message of one of the codec's types
     * @throws IllegalArgumentException if the message is of another type, an error of the caller
     */
    public ByteBuffer encode(Object message) {
        Integer number = typeNumbers.get(message.getClass());
        if (number == null) {
            throw new IllegalArgumentException(
                    "no message type: " + message.getClass().getName());
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
            throw new CorruptFrameException("no message has the number " + number);
        }
        try {
            Schema<Object> schema = schemas.get(number);
            Object message = schema.newMessage();
            ProtostuffIOUtil.mergeFrom(body, message, schema);
            return message;
        } catch (RuntimeException | OutOfMemoryError e) {
            // The boundary to bytes of another process. Protostuff reports a malformed body by many runtime exceptions,
            // and allocates by lengths within the body, which may exceed all memory.
            throw new CorruptFrameException("a message's body can't be read: " + e);
        }
    }

    /** Returns a decoder for one connection. */
    public Decoder newDecoder() {
        return new Decoder();
    }

    /** Assembles frames from the bytes of one connection, however they are split. */
    public final class Decoder {
        private final ByteBuffer header = ByteBuffer.allocate(HEADER_BYTES);
        private byte[] body;
        private int bodyBytesRead;

        /**
         * Consumes bytes up to the end of the next frame.
         *
         * @return the frame's message, or null once the buffer is empty and the frame is not complete; the next call
         *     goes on with it
         * @throws CorruptFrameException if the frame is not valid; the decoder must not be used again
         */
        public Object decode(ByteBuffer in) throws CorruptFrameException {
            while (header.hasRemaining() && in.hasRemaining()) {
                header.put(in.get());
            }
            if (header.hasRemaining()) {
                return null;
            }
            if (body == null) {
                int length = header.getInt(0);
                if (length < 0 || length > MAX_BODY_BYTES) {
                    throw new CorruptFrameException("a frame of " + length + " bytes");
                }
                body = new byte[length];
                bodyBytesRead = 0;
            }
            int count = Math.min(in.remaining(), body.length - bodyBytesRead);
            in.get(body, bodyBytesRead, count);
            bodyBytesRead += count;
            if (bodyBytesRead < body.length) {
                return null;
            }
            byte[] complete = body;
            int number = header.get(Integer.BYTES);
            body = null;
            header.clear();
            return decodeBody(number, complete);
        }
    }
}
