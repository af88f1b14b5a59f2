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
 * Accepts TCP connections on an {@link EventLoop}, up to a limit of open connections; further ones wait in the system's
 * backlog. Used on the loop's thread only. After an accept error, which is logged, the listener retries.
 */
public final class Listener implements ServerEndpoint {
    private static final System.Logger LOG = System.getLogger(Listener.class.getName());
    private static final int BACKLOG = 512;
    private static final double RETRY_DELAY_MS = 20;

    private final EventLoop loop;
    private final AsynchronousServerSocketChannel channel;
    private final Supplier<? extends Accepted> handlers;
    private final int maxOpen;
    private int openCount;
    private boolean accepting;
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
        this.loop = loop;
        this.handlers = handlers;
        this.maxOpen = maxOpen;
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

    /** Whether the limit of open connections is reached: none is accepted until one closes. */
    public boolean isFull() {
        return openCount >= maxOpen;
    }

    @Override
    public void accept() {
        if (closed || accepting || isFull()) {
            return;
        }
        accepting = true;
        channel.accept(null, new CompletionHandler<AsynchronousSocketChannel, Void>() {
            @Override
            public void completed(AsynchronousSocketChannel accepted, Void attachment) {
                loop.execute(() -> {
                    accepting = false;
                    acceptFailing = false;
                    register(accepted);
                    accept();
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
    }
}
