package dewplank.sidecar;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.Set;

/**
 * The open connections of clients, and the rules for closing them.
 *
 * <p>{@link Sidecar}, {@link GracefulShutdown} and the connections themselves call it on the event loop's thread.
 */
final class ClientConnections {
    /** Idle connections stay open while the number of open connections is at most the limit divided by this. */
    static final int IDLE_CAPACITY_DIVISOR = 3;
    /** How long a connection may wait for a complete request. */
    private static final double MAX_REQUEST_READ_MS = 2_000;
    /** How long a connection may be idle between requests while there is idle capacity. */
    private static final double MAX_IDLE_MS = 60_000;
    /**
     * How long a connection may wait for its first byte while the listener is at its limit. A client with a request
     * sends it immediately.
     */
    private static final double MAX_FIRST_BYTE_WAIT_WHEN_FULL_MS = 100;

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

    /** Removes a connection that is closed or closing. */
    void remove(ClientConnection connection) {
        open.remove(connection);
    }

    boolean isEmpty() {
        return open.isEmpty();
    }

    /** From now on, no idle connection is closed to free capacity. */
    void startDraining() {
        isDraining = true;
    }

    /** From now on, each connection is closed after its next response. */
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
     * Whether another connection may stay open while idle. If not, each connection is closed after its response:
     * clients limit their number of connections, too. Those that send one request per connection and keep it open would
     * reach that limit before the idle timeout closes connections. A draining sidecar closes no idle connections: it
     * gets no new ones, and a client stops using the sidecar once all of its connections are busy.
     */
    private boolean hasIdleCapacity() {
        return isDraining || open.size() <= maxConnections / IDLE_CAPACITY_DIVISOR;
    }

    /**
     * Closes the connections that have waited too long for a complete request. Otherwise clients that abandon their
     * connections, send nothing or stop in the middle of a request would exhaust the connection limit.
     *
     * @param isFull whether the listener is at its connection limit
     */
    void closeTimedOut(double nowMs, boolean isFull) {
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
        return connection.hasReceivedNothing() && isFull ? MAX_FIRST_BYTE_WAIT_WHEN_FULL_MS : MAX_REQUEST_READ_MS;
    }

    /** Closes connections without an open or, unless {@code includePartiallyRead}, a partially read request. */
    void closeIdle(boolean includePartiallyRead) {
        new ArrayList<>(open).forEach(connection -> connection.closeIfIdle(includePartiallyRead));
    }

    /** Returns the number of connections on which at least one byte was received. */
    long activeCount() {
        return open.stream()
                .filter(connection -> !connection.hasReceivedNothing())
                .count();
    }
}
