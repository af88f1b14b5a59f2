package dewplank.net;

import java.nio.ByteBuffer;

/**
 * The bytes that a {@link Connection} has received and its handler has not consumed. The buffer is small unless reads
 * fill it, since most of many connections are idle. Used on the loop's thread only; a pending read may be filling the
 * free space on another thread.
 */
final class InputBuffer {
    /** Size of the buffer of most connections. */
    static final int SMALL_BYTES = 4 * 1024;

    /** Size of the buffer while reads fill it. */
    private static final int LARGE_BYTES = 8 * 1024;
    /**
     * Maximum number of bytes that are read ahead while a peer's last request is in progress: the longest HTTP head and
     * body, 16 + 64 KiB.
     */
    static final int MAX_READ_AHEAD_BYTES = 80 * 1024;

    private final EventLoop loop;
    private ByteBuffer bytes = ByteBuffer.allocate(SMALL_BYTES);
    private int consumedTo; // end of the bytes that the handler has consumed
    private int filledTo; // end of the bytes received
    private boolean isReadAhead;

    InputBuffer(EventLoop loop) {
        this.loop = loop;
    }

    /** Whether all received bytes are consumed. */
    boolean isEmpty() {
        return consumedTo == filledTo;
    }

    /** Whether there is no space for a read. */
    boolean isFull() {
        return filledTo == bytes.capacity();
    }

    /** The space for the next read. */
    ByteBuffer freeSpace() {
        return bytes.slice(filledTo, bytes.capacity() - filledTo);
    }

    /** Records that a read has filled the first {@code count} bytes of the free space. */
    void recordRead(int count) {
        filledTo += count;
    }

    /** The bytes that are not consumed, as a view. */
    ByteBuffer unconsumed() {
        return bytes.duplicate().limit(filledTo).position(consumedTo);
    }

    /** Records that the handler has consumed the bytes up to the position of the view. */
    void recordConsumed(ByteBuffer view) {
        consumedTo = view.position();
    }

    /**
     * Ensures space for the next read; no read is pending. Unconsumed bytes must not stop reading below the read-ahead
     * limit: otherwise a client's close would not be detected, and its request would still be forwarded.
     */
    void prepareRead() {
        int unconsumed = filledTo - consumedTo;
        if (!isReadAhead && unconsumed == LARGE_BYTES && loop.acquireReadAhead()) {
            isReadAhead = true;
            moveTo(ByteBuffer.allocate(MAX_READ_AHEAD_BYTES));
        } else if (isReadAhead && unconsumed < LARGE_BYTES) {
            release();
            moveTo(ByteBuffer.allocate(LARGE_BYTES));
        } else if (bytes.capacity() == SMALL_BYTES && isFull()) {
            moveTo(ByteBuffer.allocate(LARGE_BYTES));
        } else if (bytes.capacity() == LARGE_BYTES && unconsumed == 0 && filledTo < SMALL_BYTES) {
            moveTo(ByteBuffer.allocate(SMALL_BYTES));
        } else if (consumedTo > 0) {
            moveTo(bytes);
        }
    }

    private void moveTo(ByteBuffer to) {
        to.put(0, bytes, consumedTo, filledTo - consumedTo);
        filledTo -= consumedTo;
        consumedTo = 0;
        bytes = to;
    }

    /** Gives a read-ahead buffer back; called when the connection closes. */
    void release() {
        if (isReadAhead) {
            isReadAhead = false;
            loop.releaseReadAhead();
        }
    }
}
