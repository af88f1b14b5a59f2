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
 * Frames of messages: four bytes of length, one byte that names the type by its place in the list, the Protostuff body.
 * Both ends of a connection use the same list. One thread.
 */
public final class MessageCodec {
    /** A frame holds one configuration at the most, which operators may send with up to 4 MiB. */
    public static final int MAX_BODY_BYTES = 8 * 1024 * 1024;

    private static final int HEAD_BYTES = Integer.BYTES + 1;
    private static final int BUFFER_BYTES = 1024;

    private final List<Schema<Object>> schemas = new ArrayList<>();
    private final Map<Class<?>, Integer> numbers = new HashMap<>();
    private final LinkedBuffer buffer = LinkedBuffer.allocate(BUFFER_BYTES);

    public MessageCodec(List<Class<?>> types) {
        for (Class<?> type : types) {
            numbers.put(type, schemas.size());
            schemas.add(schema(type));
        }
    }

    @SuppressWarnings("unchecked")
    private static Schema<Object> schema(Class<?> type) {
        return (Schema<Object>) RuntimeSchema.getSchema(type);
    }

    /** The message as one frame. */
    public ByteBuffer encode(Object message) {
        int number = numbers.get(message.getClass());
        byte[] body;
        try {
            body = ProtostuffIOUtil.toByteArray(message, schemas.get(number), buffer);
        } finally {
            buffer.clear();
        }
        return ByteBuffer.allocate(HEAD_BYTES + body.length)
                .putInt(body.length)
                .put((byte) number)
                .put(body)
                .flip();
    }

    private Object decode(int number, byte[] body) throws CorruptFrameException {
        if (number < 0 || number >= schemas.size()) {
            throw new CorruptFrameException("no message has the number " + number);
        }
        try {
            Schema<Object> schema = schemas.get(number);
            Object message = schema.newMessage();
            ProtostuffIOUtil.mergeFrom(body, message, schema);
            return message;
        } catch (RuntimeException | OutOfMemoryError e) { // a length that no body of this size can hold
            throw new CorruptFrameException("a message's body can't be read: " + e);
        }
    }

    /** Puts frames together from the bytes of one connection. */
    public final class Reader {
        private final ByteBuffer head = ByteBuffer.allocate(HEAD_BYTES);
        private byte[] body;
        private int filled;

        /** Takes bytes until a message is whole; null if more are needed. */
        public Object next(ByteBuffer in) throws CorruptFrameException {
            while (head.hasRemaining() && in.hasRemaining()) {
                head.put(in.get());
            }
            if (head.hasRemaining()) {
                return null;
            }
            if (body == null) {
                int length = head.getInt(0);
                if (length < 0 || length > MAX_BODY_BYTES) {
                    throw new CorruptFrameException("a frame of " + length + " bytes");
                }
                body = new byte[length];
                filled = 0;
            }
            int some = Math.min(in.remaining(), body.length - filled);
            in.get(body, filled, some);
            filled += some;
            if (filled < body.length) {
                return null;
            }
            byte[] whole = body;
            int number = head.get(Integer.BYTES);
            body = null;
            head.clear();
            return decode(number, whole);
        }
    }

    public Reader reader() {
        return new Reader();
    }
}
