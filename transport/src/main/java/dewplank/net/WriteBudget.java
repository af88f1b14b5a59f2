package dewplank.net;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;

/**
 * The bytes that connections of one event loop have queued for peers that do not read, and their bounds: one for each
 * connection and one for all. Beyond a bound a connection is to be closed: of all the one with the most queued bytes,
 * so that a peer which does read is not closed for others' sake.
 *
 * <p>It also says how much one system call may write. The JVM copies that much into direct memory for as long as the
 * peer does not read, and direct memory is scarce: once many bytes are queued, pieces are small.
 *
 * <p>On the loop's thread only. Connections are kept in the order in which they began to queue.
 */
final class WriteBudget {
    /**
     * Two of the largest messages between processes, of 8 MiB, do not fit; one and its successor's start do. A single
     * write may be larger: its bytes are in memory anyway.
     */
    static final long MAX_BYTES_PER_CONNECTION = 12L * 1024 * 1024;

    /** A quarter of a data plane's heap of 96 MiB. */
    private static final long MIN_TOTAL_BYTES = 24L * 1024 * 1024;

    private static final int HEAP_PARTS = 4;
    /**
     * A sixth of the direct memory of a data plane. Below it everything is written in one piece: between two pieces a
     * write may fail as the peer has answered early and closed, and its answer would be lost.
     */
    private static final int MAX_TOTAL_FOR_ONE_PIECE = 4 * 1024 * 1024;

    private static final int SMALL_PIECE_BYTES = 4 * 1024;

    private final long maxBytesPerConnection;
    private final long maxTotalBytes;
    private final Map<Connection, Long> queuedBytes = new LinkedHashMap<>();
    private long totalBytes;
    private long overflowCount;

    /** With the bounds for this process's heap. */
    WriteBudget() {
        this(
                MAX_BYTES_PER_CONNECTION,
                Math.max(MIN_TOTAL_BYTES, Runtime.getRuntime().maxMemory() / HEAP_PARTS));
    }

    WriteBudget(long maxBytesPerConnection, long maxTotalBytes) {
        this.maxBytesPerConnection = maxBytesPerConnection;
        this.maxTotalBytes = maxTotalBytes;
    }

    /** Bytes queued by all connections. */
    long totalBytes() {
        return totalBytes;
    }

    /** How many connections were named by {@link #add} to be closed. */
    long overflowCount() {
        return overflowCount;
    }

    /** How many bytes the next system call may write. */
    int pieceBytes() {
        return totalBytes > MAX_TOTAL_FOR_ONE_PIECE ? SMALL_PIECE_BYTES : MAX_TOTAL_FOR_ONE_PIECE;
    }

    /** Counts bytes that a connection queues; returns the connection to be closed for it, if any. */
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

    /** Bytes were written. */
    void remove(Connection connection, int bytes) {
        totalBytes -= bytes;
        queuedBytes.computeIfPresent(connection, (key, queued) -> queued > bytes ? queued - bytes : null);
    }

    /** The connection has closed. */
    void removeAll(Connection connection) {
        Long queued = queuedBytes.remove(connection);
        totalBytes -= queued == null ? 0 : queued;
    }
}
