package dewplank.net;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.SocketAddress;
import java.net.StandardSocketOptions;
import java.nio.channels.AsynchronousServerSocketChannel;
import java.nio.channels.AsynchronousSocketChannel;
import java.nio.channels.CompletionHandler;
import java.util.function.Supplier;

/**
 * Accepts TCP connections on an {@link EventLoop}, up to a limit of open connections. At the limit, one more is
 * accepted and waits until another closes; further ones wait in the system's backlog. Used on the loop's thread only.
 * After an accept error, which is logged, the listener retries.
 */
public final class Listener implements ServerEndpoint {
    private static final System.Logger LOG = System.getLogger(Listener.class.getName());
    private static final int BACKLOG = 512;
    private static final double RETRY_DELAY_MS = 20;

    private final EventLoop loop;
    private final AsynchronousServerSocketChannel channel;
    private final Supplier<? extends Accepted> handlers;
    private final int maxOpen;
    private final Runnable makeRoom;
    private AsynchronousSocketChannel waiting; // accepted at the limit, not yet registered; null if there is none
    private int openCount;
    private boolean accepting;
    private boolean admitting;
    private boolean retryScheduled;
    private boolean acceptFailing;
    private boolean closed;

    /** The handler of an accepted connection. */
    public interface Accepted extends Connection.Handler {
        /** Receives the connection before any of its bytes. */
        void accepted(Connection connection);
    }

    /**
     * Binds the address; no connection is accepted before {@link #accept}.
     *
     * @param maxOpen maximum number of open connections
     * @param handlers supplies the handler of each connection
     * @throws IOException if the address cannot be bound
     */
    public Listener(EventLoop loop, InetSocketAddress at, int maxOpen, Supplier<? extends Accepted> handlers)
            throws IOException {
        this(loop, at, maxOpen, handlers, () -> {});
    }

    /**
     * Binds the address of a listener that may close a connection when another one waits at the limit.
     *
     * @param makeRoom closes an open connection, if there is one that may be closed; called repeatedly while a
     *     connection waits
     * @throws IOException if the address cannot be bound
     */
    public Listener(
            EventLoop loop, InetSocketAddress at, int maxOpen, Supplier<? extends Accepted> handlers, Runnable makeRoom)
            throws IOException {
        this.loop = loop;
        this.handlers = handlers;
        this.maxOpen = maxOpen;
        this.makeRoom = makeRoom;
        channel = AsynchronousServerSocketChannel.open(loop.group());
        channel.setOption(StandardSocketOptions.SO_REUSEADDR, true);
        channel.bind(at, BACKLOG);
    }

    /** The address that the listener is bound to. */
    public SocketAddress address() throws IOException {
        return channel.getLocalAddress();
    }

    /** Whether any accepted connection is open, including those in a graceful close. */
    public boolean hasOpenConnections() {
        return openCount > 0;
    }

    /** Whether the limit of open connections is reached. */
    public boolean isFull() {
        return openCount >= maxOpen;
    }

    @Override
    public void accept() {
        if (closed || admitting) {
            return;
        }
        admitting = true; // closing a connection to make room calls this method again
        admitWaiting();
        admitting = false;
        if (!accepting && waiting == null) {
            acceptNext();
        }
    }

    private void admitWaiting() {
        if (waiting == null) {
            return;
        }
        if (isFull()) {
            makeRoom.run();
        }
        if (isFull()) {
            retryLater();
            return;
        }
        AsynchronousSocketChannel admitted = waiting;
        waiting = null;
        register(admitted);
    }

    private void retryLater() {
        if (!retryScheduled) {
            retryScheduled = true;
            loop.after(RETRY_DELAY_MS, () -> {
                retryScheduled = false;
                accept();
            });
        }
    }

    private void acceptNext() {
        accepting = true;
        channel.accept(null, new CompletionHandler<AsynchronousSocketChannel, Void>() {
            @Override
            public void completed(AsynchronousSocketChannel accepted, Void attachment) {
                loop.execute(() -> {
                    accepting = false;
                    acceptFailing = false;
                    onAccepted(accepted);
                });
            }

            @Override
            public void failed(Throwable e, Void attachment) {
                loop.execute(() -> {
                    accepting = false;
                    if (!closed) { // for example, no file descriptor is free; the retry accepts the backlog
                        LOG.log(
                                acceptFailing ? System.Logger.Level.DEBUG : System.Logger.Level.WARNING,
                                "accept failed cause={0}",
                                e.toString());
                        acceptFailing = true;
                        loop.after(RETRY_DELAY_MS, Listener.this::accept);
                    }
                });
            }
        });
    }

    private void onAccepted(AsynchronousSocketChannel accepted) {
        if (closed) {
            register(accepted); // it was accepted before the listener closed
            return;
        }
        waiting = accepted;
        accept();
    }

    private void register(AsynchronousSocketChannel accepted) {
        try {
            Accepted handler = handlers.get();
            Connection connection = new Connection(loop, accepted, handler);
            openCount++;
            connection.onClosed(() -> {
                openCount--;
                accept();
            });
            handler.accepted(connection);
            connection.read();
        } catch (IOException e) { // the peer closed before its options were set
            Connection.closeQuietly(accepted);
        }
    }

    @Override
    public void close() {
        closed = true;
        Connection.closeQuietly(channel);
        if (waiting != null) {
            Connection.closeQuietly(waiting);
            waiting = null;
        }
    }
}
