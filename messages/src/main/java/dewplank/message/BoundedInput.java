package dewplank.message;

import io.protostuff.ByteArrayInput;
import io.protostuff.ByteString;
import io.protostuff.FilterInput;
import io.protostuff.Schema;
import java.io.IOException;
import java.nio.ByteBuffer;

/**
 * Input of one message body that bounds what decoding allocates: a length is checked against the bytes that are left
 * before an array is created, and the numbers of fields, of nested messages and of levels are limited.
 *
 * <p>{@link ByteArrayInput} creates arrays as long as the input says and checks the length afterwards. Its methods
 * throw {@link IOException} for a malformed body, and so do those of this class if a limit is exceeded.
 */
final class BoundedInput extends FilterInput<ByteArrayInput> {
    /** Maximum number of fields of all messages of a body; a list of 10,000 servers has some 150,000. */
    static final int MAX_FIELDS = 250_000;
    /** Maximum number of nested messages; each takes far more memory than its bytes on the wire. */
    static final int MAX_MESSAGES = 50_000;

    static final int MAX_DEPTH = 32;

    private int fields;
    private int messages;
    private int depth;

    BoundedInput(ByteArrayInput input) {
        super(input);
    }

    @Override
    public <T> int readFieldNumber(Schema<T> schema) throws IOException {
        fields++;
        if (fields > MAX_FIELDS) {
            throw new IOException("more than " + MAX_FIELDS + " fields");
        }
        return input.readFieldNumber(schema);
    }

    /** Decodes a nested message, which is encoded as a group, with this input instead of the filtered one. */
    @Override
    public <T> T mergeObject(T value, Schema<T> schema) throws IOException {
        messages++;
        depth++;
        if (messages > MAX_MESSAGES || depth > MAX_DEPTH) {
            throw new IOException(
                    "more than " + MAX_MESSAGES + " messages, or nested more than " + MAX_DEPTH + " deep");
        }
        T merged = value == null ? schema.newMessage() : value;
        schema.mergeFrom(this, merged);
        input.checkLastTagWas(0);
        depth--;
        return merged;
    }

    @Override
    public String readString() throws IOException {
        checkNextLength();
        return input.readString();
    }

    @Override
    public ByteString readBytes() throws IOException {
        checkNextLength();
        return input.readBytes();
    }

    @Override
    public void readBytes(ByteBuffer target) throws IOException {
        checkNextLength();
        input.readBytes(target);
    }

    @Override
    public byte[] readByteArray() throws IOException {
        checkNextLength();
        return input.readByteArray();
    }

    @Override
    public ByteBuffer readByteBuffer() throws IOException {
        checkNextLength();
        return input.readByteBuffer();
    }

    /** Reads the length that follows, checks it against the bytes that are left, and returns to its start. */
    private void checkNextLength() throws IOException {
        int start = input.currentOffset();
        int end = input.currentLimit();
        int length = input.readRawVarint32();
        if (length < 0 || length > end - input.currentOffset()) {
            throw new IOException("a length of " + length + " bytes exceeds the body");
        }
        input.reset(start, end - start);
    }
}
