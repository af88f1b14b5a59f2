package dewplank.http;

import java.nio.ByteBuffer;
import java.util.Arrays;

/**
 * The received part of a message's body. The array grows with the bytes that have arrived, never with the length that
 * the peer announces, and is released when the body is taken.
 */
final class BodyBuffer {
    private static final int MIN_CAPACITY_BYTES = 1024;
    private static final byte[] EMPTY = new byte[0];

    private byte[] bytes = EMPTY;
    private int size;

    int size() {
        return size;
    }

    /** Size of the array in bytes. */
    int capacity() {
        return bytes.length;
    }

    /**
     * Moves {@code count} bytes into this buffer.
     *
     * @param maxExpected maximum number of bytes, including these, that may still follow; the array has no space for
     *     more
     */
    void append(ByteBuffer in, int count, long maxExpected) {
        ensureCapacity(size + count, maxExpected > Integer.MAX_VALUE - size ? Integer.MAX_VALUE : size + maxExpected);
        in.get(bytes, size, count);
        size += count;
    }

    private void ensureCapacity(int needed, long useful) {
        if (needed > bytes.length) {
            long doubled = Math.max(MIN_CAPACITY_BYTES, 2L * bytes.length);
            bytes = Arrays.copyOf(bytes, (int) Math.max(needed, Math.min(doubled, useful)));
        }
    }

    /** Returns the bytes and removes them from this buffer. */
    byte[] take() {
        byte[] taken = size == bytes.length ? bytes : Arrays.copyOf(bytes, size);
        clear();
        return taken;
    }

    void clear() {
        bytes = EMPTY;
        size = 0;
    }
}
