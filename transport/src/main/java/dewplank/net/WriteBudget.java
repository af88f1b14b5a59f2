package dewplank.net;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;

/**
 * Counts the bytes that the connections of an event loop have queued, and limits them per connection and in total. A
 * connection that exceeds its limit must be closed. If all connections together exceed the total limit, the one with
 * the most queued bytes must be closed, so that a peer that reads does not lose its connection because of other peers.
 *
 * <p>The budget also determines how many bytes one system call may write, a piece. The JVM copies a piece into direct
 * memory and keeps it there until the peer reads it. Direct memory is scarce, so pieces are small if many bytes are
 * queued.
 *
 * <p>Used on the loop's thread only. The map's order is that in which the connections started to queue bytes.
 */
final class WriteBudget {
    /**
     * Maximum number of bytes queued for one connection. It allows one message of 8 MiB, the largest between processes,
     * and the start of the next, but not two such messages. A single write may be larger, since its bytes are already
     * in memory.
     */
    static final long MAX_BYTES_PER_CONNECTION = 12L * 1024 * 1024;

    /** The total limit is the maximum heap size divided by this, if that exceeds the limit per connection. */
    private static final int HEAP_DIVISOR = 4;
    /**
     * Total of queued bytes up to which each write is a single piece: a sixth of the direct memory of a data plane. If
     * a peer responded early and closed the connection between two pieces, the write of the second could fail, and the
     * response would be lost.
     */
    private static final int MAX_TOTAL_FOR_SINGLE_PIECE = 4 * 1024 * 1024;

    private static final int SMALL_PIECE_BYTES = 4 * 1024;

    private final long maxBytesPerConnection;
    private final long maxTotalBytes;
    private final Map<Connection, Long> queuedBytes = new LinkedHashMap<>();
    private long totalBytes;
    private long overflowCount;

    /** Creates a budget with limits for this process's heap. */
    WriteBudget() {
        this(
                MAX_BYTES_PER_CONNECTION,
                Math.max(MAX_BYTES_PER_CONNECTION, Runtime.getRuntime().maxMemory() / HEAP_DIVISOR));
    }

    WriteBudget(long maxBytesPerConnection, long maxTotalBytes) {
        this.maxBytesPerConnection = maxBytesPerConnection;
        this.maxTotalBytes = maxTotalBytes;
    }

    /** Bytes queued by all connections. */
    long totalBytes() {
        return totalBytes;
    }

    /** Number of times that {@link #add} has returned a connection to close. */
    long overflowCount() {
        return overflowCount;
    }

    /** Maximum number of bytes that the next system call may write. */
    int maxPieceBytes() {
        return totalBytes > MAX_TOTAL_FOR_SINGLE_PIECE ? SMALL_PIECE_BYTES : MAX_TOTAL_FOR_SINGLE_PIECE;
    }

    /** Adds bytes queued by a connection; returns the connection to close if a limit is exceeded. */
    Optional<Connection> add(Connection connection, int bytes) {
        long connectionBytes = queuedBytes.merge(connection, (long) bytes, Long::sum);
        totalBytes += bytes;
        if (connectionBytes > maxBytesPerConnection && connectionBytes > bytes) {
            overflowCount++;
            return Optional.of(connection);
        }
        if (totalBytes > maxTotalBytes) {
            overflowCount++;
            return queuedBytes.entrySet().stream()
                    .max(Map.Entry.comparingByValue())
                    .map(Map.Entry::getKey);
        }
        return Optional.empty();
    }

    /** Subtracts bytes that a connection has written. */
    void remove(Connection connection, int bytes) {
        totalBytes -= bytes;
        queuedBytes.computeIfPresent(connection, (key, queued) -> queued > bytes ? queued - bytes : null);
    }

    /** Removes a closed connection with its queued bytes. */
    void removeAll(Connection connection) {
        Long queued = queuedBytes.remove(connection);
        totalBytes -= queued == null ? 0 : queued;
    }
}
