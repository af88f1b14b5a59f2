package dewplank.exchange;

import dewplank.net.Connection;
import dewplank.net.Scheduler;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Iterator;

/** The idle connections to one server, the last used on top. */
public final class ConnectionPool {
    /**
     * A connection rests so long before its next request: a second answer to the last one, which some servers send,
     * would else be taken for the next one's. Seen 1 to 8 ms after the first.
     */
    public static final double REUSE_DELAY_MS = 10;

    private record Idle(Connection connection, InetSocketAddress to, double idleSince, double closeAt) {}

    private final Scheduler loop;
    private final double reuseDelayMs;
    private final double maxIdleMs;
    private final Deque<Idle> idle = new ArrayDeque<>();
    private boolean closed;

    /** A connection is used again that has been idle for so long at the least and at the most. */
    public ConnectionPool(Scheduler loop, double reuseDelayMs, double maxIdleMs) {
        this.loop = loop;
        this.reuseDelayMs = reuseDelayMs;
        this.maxIdleMs = maxIdleMs;
    }

    /** An idle connection to that address, or null. Those to an address that the server has left are closed. */
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

    /** Guards against a request that crosses the server's own close, and ends as a reset. */
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

    /** The server has left: what is idle ends, and so does a connection whose last call ends later. */
    public void close() {
        closed = true;
        closeIdleBefore(Double.MAX_VALUE);
    }

    public void put(Connection connection, InetSocketAddress to) {
        put(connection, to, Double.POSITIVE_INFINITY);
    }

    /** Keeps the connection for so many milliseconds at the most: the server has said that it ends it then. */
    public void put(Connection connection, InetSocketAddress to, double idleMs) {
        if (closed) {
            connection.close();
            return;
        }
        Idle entry = new Idle(connection, to, loop.now(), loop.now() + idleMs);
        idle.addLast(entry);
        connection.setHandler(new Connection.Handler() {
            @Override
            public void received(ByteBuffer bytes) { // nothing was asked: its next answer could not be trusted
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

    public int size() {
        return idle.size();
    }

    public void closeIdleBefore(double time) {
        while (!idle.isEmpty() && idle.peekFirst().idleSince() <= time) {
            closeOldest();
        }
    }

    /** Closes the connection that has been idle longest; whether there was one. */
    public boolean closeOldest() {
        Idle oldest = idle.pollFirst();
        if (oldest != null) {
            oldest.connection().close();
        }
        return oldest != null;
    }
}
