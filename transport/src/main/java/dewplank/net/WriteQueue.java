package dewplank.net;

import java.nio.ByteBuffer;
import java.util.ArrayDeque;
import java.util.Deque;

/**
 * The writes of one {@link Connection} that the system has not taken completely, in order, and the piece of the first
 * one that it was given last. On the loop's thread only.
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

    /** Queues a write; returns whether it is the only one, so that it is to be begun. */
    boolean add(ByteBuffer bytes, Runnable onWritten) {
        writes.addLast(new Write(bytes, onWritten));
        budget.add(connection, bytes.remaining()).ifPresent(Connection::closeForOverflow);
        return writes.size() == 1;
    }

    /**
     * The bytes that the system is to be given next: what is left of the last piece, or the next one; there is some
     * write. Mostly all of a write at once, in its own buffer: that one's position says at any time what the system has
     * taken, from which {@code HttpCall} derives whether a request may have run. A smaller piece counts as taken when
     * it is begun.
     */
    ByteBuffer nextPiece() {
        if (piece != null && piece.hasRemaining()) {
            return piece;
        }
        ByteBuffer bytes = writes.peekFirst().bytes();
        int length = Math.min(bytes.remaining(), budget.pieceBytes());
        if (length == bytes.remaining()) {
            piece = bytes;
        } else {
            piece = bytes.slice(bytes.position(), length);
            bytes.position(bytes.position() + length);
        }
        return piece;
    }

    /**
     * The system took so many bytes of the last piece.
     *
     * @return the task to run as the first write is complete; null while it is not
     */
    Runnable taken(int count) {
        budget.remove(connection, count);
        if (piece.hasRemaining() || writes.peekFirst().bytes().hasRemaining()) {
            return null;
        }
        piece = null;
        return writes.removeFirst().onWritten();
    }

    /** Drops everything; the connection has closed. */
    void clear() {
        writes.clear();
        budget.removeAll(connection);
    }
}
