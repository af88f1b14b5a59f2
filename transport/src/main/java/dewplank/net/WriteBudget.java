package dewplank.net;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;

/**
 * Counts the bytes that the connections of an event loop have queued, and limits them per connection and in total. If a
 * connection exceeds its own limit, it is to be closed. If all together exceed the total limit, the connection with the
 * most queued bytes is to be closed, so that a peer that reads does not lose its connection because of other peers.
 *
 * <p>It also determines how many bytes one system call may write. The JVM copies these bytes into direct memory until
 * the peer reads them, and direct memory is scarce: if many bytes are queued, pieces are small.
 *
 * <p>Used on the loop's thread only. Connections are stored in the order in which they started to queue bytes.
 */
final class WriteBudget {
    /**
     * Enough for one message of 8 MiB, the largest between processes, and the start of the next, but not for two. A
     * single write may be larger, since its bytes are already in memory.
     */
    static final long MAX_BYTES_PER_CONNECTION = 12L * 1024 * 1024;

    /** A quarter of a data plane's heap of 96 MiB. */
    private static final long MIN_TOTAL_BYTES = 24L * 1024 * 1024;

    private static final int HEAP_DIVISOR = 4;
    /**
     * A sixth of the direct memory of a data plane. Up to this total each write is a single piece: if the peer responds
     * early and closes, a write between two pieces may fail, and the response would be lost.
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
                Math.max(MIN_TOTAL_BYTES, Runtime.getRuntime().maxMemory() / HEAP_DIVISOR));
    }

    WriteBudget(long maxBytesPerConnection, long maxTotalBytes) {
        this.maxBytesPerConnection = maxBytesPerConnection;
        this.maxTotalBytes = maxTotalBytes;
    }

    /** Bytes queued by all connections. */
    long totalBytes() {
        return totalBytes;
    }

    /** Number of connections that {@link #add} has returned to be closed. */
    long overflowCount() {
        return overflowCount;
    }

    /** Maximum number of bytes that the next system call may write. */
    int pieceBytes() {
        return totalBytes > MAX_TOTAL_FOR_SINGLE_PIECE ? SMALL_PIECE_BYTES : MAX_TOTAL_FOR_SINGLE_PIECE;
    }

    /** Adds bytes queued by a connection; returns the connection to close if a limit is exceeded. */
    Optional<Connection> add(Connection connection, int bytes) {
        long own = queuedBytes.merge(connection, (long) bytes, Long::sum);
        totalBytes += bytes;
        if (own > maxBytesPerConnection && own > bytes) {
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
