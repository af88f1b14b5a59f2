package dewplank.sidecar;

import dewplank.net.Connection;
import dewplank.net.EventLoop;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Iterator;

/** The idle connections to one server, the last used on top. */
final class ServerPool {
    private record Idle(Connection connection, InetSocketAddress to, double since) { }

    private final EventLoop loop;
    private final Deque<Idle> idle = new ArrayDeque<>();
    private boolean closed;

    ServerPool(EventLoop loop) {
        this.loop = loop;
    }

    /** An idle connection to that address, or null. Those to an address that the server has left are closed. */
    Connection take(InetSocketAddress to) {
        while (!idle.isEmpty()) {
            Idle top = idle.removeLast();
            if (!top.connection().isClosed() && top.to().equals(to)) {
                return top.connection();
            }
            top.connection().close();
        }
        return null;
    }

    /** The server has left: what is idle ends, and so does a connection whose last call ends later. */
    void close() {
        closed = true;
        closeIdleBefore(Double.MAX_VALUE);
    }

    void put(Connection connection, InetSocketAddress to) {
        if (closed) {
            connection.close();
            return;
        }
        Idle entry = new Idle(connection, to, loop.now());
        idle.addLast(entry);
        connection.setHandler(new Connection.Handler() {
            @Override
            public void received(ByteBuffer bytes) {   // nothing was asked: its next answer could not be trusted
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

    int size() {
        return idle.size();
    }

    void closeIdleBefore(double time) {
        for (Iterator<Idle> i = idle.iterator(); i.hasNext();) {
            Idle entry = i.next();
            if (entry.since() <= time) {
                i.remove();
                entry.connection().close();
            }
        }
    }

    /** Closes the connection that has been idle longest; whether there was one. */
    boolean closeOldest() {
        Idle oldest = idle.pollFirst();
        if (oldest != null) {
            oldest.connection().close();
        }
        return oldest != null;
    }
}
