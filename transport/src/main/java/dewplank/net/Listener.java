package dewplank.net;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.SocketAddress;
import java.net.StandardSocketOptions;
import java.nio.channels.AsynchronousServerSocketChannel;
import java.nio.channels.AsynchronousSocketChannel;
import java.nio.channels.CompletionHandler;
import java.util.function.Supplier;

/** Accepts connections, up to a bound on those open at once; further ones wait in the system's queue. */
public final class Listener implements ServerEndpoint {
    private static final System.Logger LOG = System.getLogger(Listener.class.getName());
    private static final int BACKLOG = 512;
    private static final double RETRY_MS = 20;

    private final EventLoop loop;
    private final AsynchronousServerSocketChannel channel;
    private final Supplier<? extends Accepted> handlers;
    private final int maxOpen;
    private int openCount;
    private boolean accepting;
    private boolean acceptFailing;
    private boolean closed;

    /** The handler of an accepted connection, which it is handed before any bytes. */
    public interface Accepted extends Connection.Handler {
        void accepted(Connection connection);
    }

    public Listener(EventLoop loop, InetSocketAddress at, int maxOpen, Supplier<? extends Accepted> handlers)
            throws IOException {
        this.loop = loop;
        this.handlers = handlers;
        this.maxOpen = maxOpen;
        channel = AsynchronousServerSocketChannel.open(loop.group());
        channel.setOption(StandardSocketOptions.SO_REUSEADDR, true);
        channel.bind(at, BACKLOG);
    }

    public SocketAddress address() throws IOException {
        return channel.getLocalAddress();
    }

    /** Whether a connection that was accepted has not closed yet: one that is finishing counts. */
    public boolean hasOpenConnections() {
        return openCount > 0;
    }

    /** Whether no further connection is taken until one closes. */
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
                    if (!closed) { // out of descriptors, say: those waiting are served when one is free
                        LOG.log(
                                acceptFailing ? System.Logger.Level.DEBUG : System.Logger.Level.WARNING,
                                "accepting failed: {0}",
                                e.toString());
                        acceptFailing = true;
                        loop.after(RETRY_MS, Listener.this::accept);
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
        } catch (IOException e) { // it left before it was looked at
            Connection.closeQuietly(accepted);
        }
    }

    @Override
    public void close() {
        closed = true;
        Connection.closeQuietly(channel);
    }
}
