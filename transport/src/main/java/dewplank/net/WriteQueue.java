package dewplank.net;

import java.nio.ByteBuffer;
import java.util.ArrayDeque;
import java.util.Deque;

/**
 * The writes of a {@link Connection} that the system has not completely accepted, in order, and the latest piece of the
 * first write that was passed to the system. Used on the loop's thread only.
 */
final class WriteQueue {
    private record Write(ByteBuffer bytes, Runnable onWritten) {}

    private final Connection connection;
    private final WriteBudget budget;
    private final Deque<Write> writes = new ArrayDeque<>();
    private ByteBuffer piece;

    WriteQueue(Connection connection, WriteBudget budget) {
        this.connection = connection;
        this.budget = budget;
    }

    boolean isEmpty() {
        return writes.isEmpty();
    }

    /** Queues a write; returns true if no other write is queued: the caller must then start it. */
    boolean add(ByteBuffer bytes, Runnable onWritten) {
        writes.addLast(new Write(bytes, onWritten));
        budget.add(connection, bytes.remaining()).ifPresent(Connection::closeForOverflow);
        return writes.size() == 1;
    }

    /**
     * Returns the bytes to pass to the system next: the remainder of the last piece, or the next piece. The queue must
     * not be empty. Usually the piece is the complete write in its own buffer, whose position shows how many bytes the
     * system has accepted; {@code HttpCall} derives from it whether a request may have run. A smaller piece advances
     * the position by its full length before it is written.
     */
    ByteBuffer nextPiece() {
        if (piece != null && piece.hasRemaining()) {
            return piece;
        }
        ByteBuffer bytes = writes.peekFirst().bytes();
        int length = Math.min(bytes.remaining(), budget.maxPieceBytes());
        if (length == bytes.remaining()) {
            piece = bytes;
        } else {
            piece = bytes.slice(bytes.position(), length);
            bytes.position(bytes.position() + length);
        }
        return piece;
    }

    /**
     * Records that the system has accepted {@code count} bytes of the last piece.
     *
     * @return the task to run if this completes the first write; otherwise null
     */
    Runnable recordWritten(int count) {
        budget.remove(connection, count);
        if (piece.hasRemaining() || writes.peekFirst().bytes().hasRemaining()) {
            return null;
        }
        piece = null;
        return writes.removeFirst().onWritten();
    }

    /** Discards all writes of a closed connection. */
    void clear() {
        writes.clear();
        budget.removeAll(connection);
    }
}
