package dewplank.http;

import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;

/**
 * The received part of a message's body, in segments. They are allocated as bytes arrive, never for the length that the
 * peer announces, and are not copied when the body grows. They are released when the body is taken.
 */
final class BodyBuffer {
    private static final int MIN_SEGMENT_BYTES = 1024;
    private static final int MAX_SEGMENT_BYTES = 64 * 1024;
    private static final byte[] EMPTY = new byte[0];

    /** All segments before the last one are full. */
    private List<byte[]> segments = List.of();

    private byte[] last = EMPTY;
    private int lastSize;
    private int size;
    private int capacity;

    int size() {
        return size;
    }

    /** Size of all segments in bytes. */
    int capacity() {
        return capacity;
    }

    /**
     * Moves {@code count} bytes into this buffer.
     *
     * @param maxExpected maximum number of bytes, including these, that may still follow; there is no space for more
     */
    void append(ByteBuffer in, int count, long maxExpected) {
        int left = count;
        while (left > 0) {
            if (lastSize == last.length) {
                addSegment(maxExpected - (count - left));
            }
            int part = Math.min(left, last.length - lastSize);
            in.get(last, lastSize, part);
            lastSize += part;
            size += part;
            left -= part;
        }
    }

    private void addSegment(long maxExpected) {
        if (segments.isEmpty()) {
            segments = new ArrayList<>(1);
        }
        int growing = Math.max(MIN_SEGMENT_BYTES, Math.min(MAX_SEGMENT_BYTES, size));
        last = new byte[(int) Math.min(growing, maxExpected)];
        lastSize = 0;
        segments.add(last);
        capacity += last.length;
    }

    /** Returns the bytes and removes them from this buffer. */
    byte[] take() {
        byte[] taken = size == last.length ? last : join();
        clear();
        return taken;
    }

    private byte[] join() {
        if (segments.size() == 1) {
            return Arrays.copyOf(last, size);
        }
        byte[] joined = new byte[size];
        int position = 0;
        for (byte[] segment : segments) {
            int length = segment == last ? lastSize : segment.length;
            System.arraycopy(segment, 0, joined, position, length);
            position += length;
        }
        return joined;
    }

    void clear() {
        segments = List.of();
        last = EMPTY;
        lastSize = 0;
        size = 0;
        capacity = 0;
    }
}
