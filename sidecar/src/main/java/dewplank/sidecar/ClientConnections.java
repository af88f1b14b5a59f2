package dewplank.sidecar;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.Set;

/**
 * The clients' open connections, and the rules for which of them may stay open.
 *
 * <p>{@link Sidecar}, {@link GracefulShutdown} and the connections themselves call it on the event loop's thread.
 */
final class ClientConnections {
    /** Idle connections are kept while clients have no more than this part of the connections that they may have. */
    static final int IDLE_CAPACITY_DIVISOR = 3;
    /** How long a connection may wait for a complete request. */
    private static final double MAX_REQUEST_READ_MS = 2_000;
    /** How long it may wait between requests while there is capacity. */
    private static final double MAX_IDLE_MS = 60_000;
    /** How long it may send nothing at all while there is none: a client with a request sends it at once. */
    private static final double MAX_SILENT_WHEN_FULL_MS = 100;

    private final int maxConnections;
    private final Set<ClientConnection> open = new HashSet<>();
    private boolean isDraining;
    private boolean isClosing;

    ClientConnections(int maxConnections) {
        this.maxConnections = maxConnections;
    }

    void add(ClientConnection connection) {
        open.add(connection);
    }

    /** Forgets a connection that has ended or begun to close. */
    void remove(ClientConnection connection) {
        open.remove(connection);
    }

    boolean isEmpty() {
        return open.isEmpty();
    }

    /** From here on no connection is closed for want of capacity. */
    void startDraining() {
        isDraining = true;
    }

    /** From here on each response is the last on its connection. */
    void startClosing() {
        isClosing = true;
    }

    boolean isClosing() {
        return isClosing;
    }

    /** Whether a connection may stay open after a response. */
    boolean mayKeepAlive() {
        return !isClosing && hasIdleCapacity();
    }

    /**
     * Whether another connection may be kept idle. Where not, each response is the last on its connection: clients
     * that send one request and keep theirs have a bound of their own, and reach it before the idle ones are old
     * enough to end. A draining sidecar ends none: no new ones come, and the client gives up on the sidecar once all
     * that it has are busy.
     */
    private boolean hasIdleCapacity() {
        return isDraining || open.size() <= maxConnections / IDLE_CAPACITY_DIVISOR;
    }

    /**
     * Closes the connections that have waited too long for a complete request. Otherwise clients that forget their
     * connections, send nothing or stop halfway through a request would use up the bound.
     *
     * @param isFull whether the listener accepts no more for now
     */
    void closeOverdue(double nowMs, boolean isFull) {
        boolean hasIdleCapacity = hasIdleCapacity();
        for (ClientConnection connection : new ArrayList<>(open)) {
            if (!connection.isBusy()
                    && nowMs - connection.waitingSinceMs() >= maxWaitMs(connection, hasIdleCapacity, isFull)) {
                connection.timeOut();
            }
        }
    }

    private static double maxWaitMs(ClientConnection connection, boolean hasIdleCapacity, boolean isFull) {
        if (connection.isIdle() && hasIdleCapacity) {
            return MAX_IDLE_MS;
        }
        return connection.isSilent() && isFull ? MAX_SILENT_WHEN_FULL_MS : MAX_REQUEST_READ_MS;
    }

    /** Closes each connection without an open or half-read request; half-read ones too if {@code includeUnread}. */
    void closeIdle(boolean includeUnread) {
        new ArrayList<>(open).forEach(connection -> connection.closeIfIdle(includeUnread));
    }

    /** How many have sent at least one byte. */
    long activeCount() {
        return open.stream().filter(connection -> !connection.isSilent()).count();
    }
}
