package dewplank.exchange;

import dewplank.net.Connection;
import dewplank.net.Scheduler;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Iterator;

/**
 * The idle connections to a server; the most recently used one is reused first. Used on the loop's thread only. A
 * connection is removed automatically if the server closes it or sends bytes on it while it is idle.
 */
public final class ConnectionPool {
    /**
     * Minimum idle time of a connection before it is reused. Some servers send a second response to the last request, 1
     * to 8 ms after the first (observed in simulation runs); it could be mistaken for the response to the next request.
     */
    public static final double REUSE_DELAY_MS = 10;

    private record Idle(Connection connection, InetSocketAddress to, double idleSince, double closeAt) {}

    private final Scheduler loop;
    private final double reuseDelayMs;
    private final double maxIdleMs;
    private final Deque<Idle> idle = new ArrayDeque<>();
    private boolean closed;

    /** Creates a pool that reuses connections idle for at least {@code reuseDelayMs} and at most {@code maxIdleMs}. */
    public ConnectionPool(Scheduler loop, double reuseDelayMs, double maxIdleMs) {
        this.loop = loop;
        this.reuseDelayMs = reuseDelayMs;
        this.maxIdleMs = maxIdleMs;
    }

    /** Removes and returns an idle connection to the address, or null. Closes connections to an earlier address. */
    public Connection take(InetSocketAddress to) {
        closeExpired();
        double reusableIfIdleSince = loop.now() - reuseDelayMs;
        for (Iterator<Idle> i = idle.descendingIterator(); i.hasNext(); ) {
            Idle entry = i.next();
            if (entry.connection().isClosed() || !entry.to().equals(to)) {
                i.remove();
                entry.connection().close();
            } else if (entry.idleSince() <= reusableIfIdleSince) {
                i.remove();
                return entry.connection();
            }
        }
        return null;
    }

    /** Closes connections idle for too long: a request sent while the server closes one fails with a reset. */
    public void closeExpired() {
        double now = loop.now();
        closeIdleBefore(now - maxIdleMs);
        for (Iterator<Idle> i = idle.iterator(); i.hasNext(); ) {
            Idle entry = i.next();
            if (entry.closeAt() <= now) {
                i.remove();
                entry.connection().close();
            }
        }
    }

    /** Closes the pool of a removed server: idle connections close now, others when they are returned to the pool. */
    public void close() {
        closed = true;
        closeIdleBefore(Double.MAX_VALUE);
    }

    /** Returns a connection to the pool. */
    public void put(Connection connection, InetSocketAddress to) {
        put(connection, to, Double.POSITIVE_INFINITY);
    }

    /** Returns a connection to the pool for at most {@code idleMs} ms, after which the server may close it. */
    public void put(Connection connection, InetSocketAddress to, double idleMs) {
        if (closed) {
            connection.close();
            return;
        }
        Idle entry = new Idle(connection, to, loop.now(), loop.now() + idleMs);
        idle.addLast(entry);
        connection.setHandler(new Connection.Handler() {
            @Override
            public void received(
                    ByteBuffer
                            bytes) { // unsolicited bytes: a later response on this connection might belong to another
                // request
                bytes.position(bytes.limit());
                idle.remove(entry);
                connection.close();
            }

            @Override
            public void closed(IOException cause) {
                idle.remove(entry);
            }
        });
    }

    /** Number of idle connections. */
    public int size() {
        return idle.size();
    }

    /** Closes all connections that have been idle since {@code time} or earlier. */
    public void closeIdleBefore(double time) {
        while (!idle.isEmpty() && idle.peekFirst().idleSince() <= time) {
            closeOldest();
        }
    }

    /** Closes the connection that has been idle for longest; returns false if the pool is empty. */
    public boolean closeOldest() {
        Idle oldest = idle.pollFirst();
        if (oldest != null) {
            oldest.connection().close();
        }
        return oldest != null;
    }
}
