package dewplank.exchange;

import dewplank.net.EventLoop;
import java.util.ArrayList;
import java.util.Iterator;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;

/**
 * The open connections of a listener's clients. If the listener is at its limit, {@link #closeLongestWaiting} makes
 * room for a client that has just connected, so that clients that send nothing or stop within a request do not keep
 * others out. Used on the loop's thread only.
 */
public final class InboundConnections {
    /** A connection without a complete request is not closed to make room within this time of its last bytes. */
    static final double MIN_INCOMPLETE_WAIT_MS = 100;

    private final Set<InboundConnection> open = new LinkedHashSet<>();
    /** Connections without a complete request, in the order in which they last received bytes or were accepted. */
    private final Set<InboundConnection> incomplete = new LinkedHashSet<>();
    /** Connections that have responded and received nothing since, in the order of their responses. */
    private final Set<InboundConnection> idle = new LinkedHashSet<>();

    /** Creates the handler of a new connection, whose requests the service handles. */
    public InboundConnection open(EventLoop loop, InboundConnection.Service service) {
        InboundConnection connection = new InboundConnection(loop, service, this);
        open.add(connection);
        incomplete.add(connection);
        return connection;
    }

    /** Number of open connections, without those that are closing. */
    public int size() {
        return open.size();
    }

    /** Returns a copy, so that callers can iterate while connections close. */
    public List<InboundConnection> all() {
        return new ArrayList<>(open);
    }

    /** Records that the connection has received bytes of a request that is not complete. */
    void recordIncomplete(InboundConnection connection) {
        idle.remove(connection);
        incomplete.remove(connection);
        incomplete.add(connection);
    }

    /** Records that the connection has a complete request. */
    void recordBusy(InboundConnection connection) {
        idle.remove(connection);
        incomplete.remove(connection);
    }

    /** Records that the connection waits for its next request. */
    void recordIdle(InboundConnection connection) {
        idle.add(connection);
    }

    /** Removes a connection that is closed or closing. */
    void remove(InboundConnection connection) {
        open.remove(connection);
        recordBusy(connection);
    }

    /**
     * Closes the connection without a complete request that has received no bytes for the longest time, or the one that
     * has been idle for the longest time if there is none. Closes none that has waited only for a moment, and none with
     * a request in progress.
     *
     * @param now the time in milliseconds of the loop's clock
     * @param minIdleMs how long after a response a client may send its next request; the connection is kept for this
     *     time
     */
    public void closeLongestWaiting(double now, double minIdleMs) {
        if (!closeFirst(incomplete, now - MIN_INCOMPLETE_WAIT_MS)) {
            closeFirst(idle, now - minIdleMs);
        }
    }

    private static boolean closeFirst(Set<InboundConnection> waiting, double waitingSince) {
        Iterator<InboundConnection> first = waiting.iterator();
        if (!first.hasNext()) {
            return false;
        }
        InboundConnection connection = first.next();
        if (connection.lastActiveAt() > waitingSince) {
            return false;
        }
        connection.closeWithoutResponse();
        return true;
    }

    /** Times out each connection that has waited for a complete request for more than {@code ms}. */
    public void timeOutAfter(double ms) {
        all().forEach(connection -> connection.timeOutAfter(ms));
    }

    /** Closes each connection without a request in progress; see {@link InboundConnection#closeIfIdle}. */
    public void closeIdle(boolean includingPartial) {
        all().forEach(connection -> connection.closeIfIdle(includingPartial));
    }
}
