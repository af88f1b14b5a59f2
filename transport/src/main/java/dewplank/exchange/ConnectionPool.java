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
 * The idle connections to one server, the most recently used first. On the loop's thread only. Connections that the
 * server closes, or that send bytes while idle, leave the pool by themselves.
 */
public final class ConnectionPool {
    /**
     * How long a connection stays idle before it is reused. Some servers send a second answer to the last request, 1 to
     * 8 ms after the first (seen in plays); it would be taken for the answer to the next one.
     */
    public static final double REUSE_DELAY_MS = 10;

    private record Idle(Connection connection, InetSocketAddress to, double idleSince, double closeAt) {}

    private final Scheduler loop;
    private final double reuseDelayMs;
    private final double maxIdleMs;
    private final Deque<Idle> idle = new ArrayDeque<>();
    private boolean closed;

    /** A pool that reuses connections idle for at least {@code reuseDelayMs} and at most {@code maxIdleMs}. */
    public ConnectionPool(Scheduler loop, double reuseDelayMs, double maxIdleMs) {
        this.loop = loop;
        this.reuseDelayMs = reuseDelayMs;
        this.maxIdleMs = maxIdleMs;
    }

    /**
     * Takes an idle connection to that address, or null. Connections to another address, which the server left, close.
     */
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

    /** Closes connections idle for too long: a request that meets the server's own close ends as a reset. */
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

    /** Closes the pool, as the server left: idle connections close now, others as they are put back. */
    public void close() {
        closed = true;
        closeIdleBefore(Double.MAX_VALUE);
    }

    /** Puts a connection back. */
    public void put(Connection connection, InetSocketAddress to) {
        put(connection, to, Double.POSITIVE_INFINITY);
    }

    /** Puts a connection back for at most {@code idleMs} milliseconds, as the server stated that it closes it then. */
    public void put(Connection connection, InetSocketAddress to, double idleMs) {
        if (closed) {
            connection.close();
            return;
        }
        Idle entry = new Idle(connection, to, loop.now(), loop.now() + idleMs);
        idle.addLast(entry);
        connection.setHandler(new Connection.Handler() {
            @Override
            public void received(ByteBuffer bytes) { // unsolicited: its next answer could not be trusted
                bytes.position(bytes.limit());
                idle.remove(entry);
                connection.close();
            }

            @Override
            public void closed(IOException why) {
                idle.remove(entry);
            }
        });
    }

    /** Idle connections. */
    public int size() {
        return idle.size();
    }

    /** Closes those idle since that time or longer. */
    public void closeIdleBefore(double time) {
        while (!idle.isEmpty() && idle.peekFirst().idleSince() <= time) {
            closeOldest();
        }
    }

    /** Closes the connection that is idle for longest; returns whether there was one. */
    public boolean closeOldest() {
        Idle oldest = idle.pollFirst();
        if (oldest != null) {
            oldest.connection().close();
        }
        return oldest != null;
    }
}
