package dewplank.net;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.StandardSocketOptions;
import java.nio.ByteBuffer;
import java.nio.channels.AsynchronousSocketChannel;
import java.nio.channels.CompletionHandler;
import java.util.function.Consumer;

/**
 * A TCP connection on an {@link EventLoop}.
 *
 * <p>A read is always pending, so that a close by the peer is detected immediately. At most one write is pending;
 * further writes are queued. If a peer does not read and more bytes are queued for it than {@link WriteBudget} allows,
 * the connection is closed and reported as broken. All methods must be called on the loop's thread, and all callbacks
 * run there. Socket errors close the connection and are reported to the {@link Handler}; no method throws them.
 */
public final class Connection {
    private static final System.Logger LOG = System.getLogger(Connection.class.getName());
    private static final int BUFFER_BYTES = 8 * 1024;
    /**
     * Maximum number of bytes that are read ahead while a peer's last request is in progress: the longest HTTP head and
     * body, 16 + 64 KiB.
     */
    static final int MAX_READ_AHEAD_BYTES = 80 * 1024;

    private static final double LINGER_MS = 1_000;

    /** Receives the bytes and the close of a connection. Called on the loop's thread. */
    public interface Handler {
        /** Consumes bytes; unconsumed bytes are passed again together with the next ones, or on {@link #resume}. */
        void received(ByteBuffer bytes);

        /**
         * The peer closed the connection ({@code cause} is null), or the connection broke. Called at most once, never
         * after {@link #close}.
         */
        void closed(IOException cause);

        /**
         * The peer exceeded the read-ahead limit. Until bytes are consumed, nothing more is read and a close by the
         * peer is not detected.
         */
        default void readAheadExceeded() {}
    }

    private final EventLoop loop;
    private final AsynchronousSocketChannel channel;
    private ByteBuffer input = ByteBuffer.allocate(BUFFER_BYTES);
    private int consumedTo; // end of the bytes that the handler has consumed
    private int filledTo; // end of the bytes received; the pending read may be filling the rest on another thread
    private boolean hasReadAheadBuffer;
    private final WriteQueue writes;
    private Handler handler;
    private boolean reading;
    private boolean delivering;
    private boolean closingGracefully;
    private boolean closed;
    private Runnable onClosed = () -> {};

    private final CompletionHandler<Integer, Void> onReadDone = handler(this::onReadDone);
    private final CompletionHandler<Integer, Void> onWriteDone = handler(this::onWriteDone);

    Connection(EventLoop loop, AsynchronousSocketChannel channel, Handler handler) throws IOException {
        this.loop = loop;
        this.channel = channel;
        this.handler = handler;
        this.writes = new WriteQueue(this, loop.writeBudget());
        channel.setOption(StandardSocketOptions.TCP_NODELAY, true);
    }

    /** A connection attempt in progress. */
    public interface Connecting {
        /** Cancels the attempt; none of its callbacks is called afterwards. */
        void cancel();
    }

    /**
     * Opens a connection. Calls either {@code onConnected} or {@code onFailed}, never before this method returns, and
     * neither of them after a cancel. The operating system's connect timeout is the only one.
     */
    public static Connecting open(
            EventLoop loop,
            InetSocketAddress to,
            Handler handler,
            Consumer<Connection> onConnected,
            Consumer<IOException> onFailed) {
        return open(loop, null, to, handler, onConnected, onFailed);
    }

    /** Opens a connection from a local address; null lets the operating system choose it. */
    public static Connecting open(
            EventLoop loop,
            InetAddress from,
            InetSocketAddress to,
            Handler handler,
            Consumer<Connection> onConnected,
            Consumer<IOException> onFailed) {
        boolean[] cancelled = new boolean[1];
        AsynchronousSocketChannel channel;
        try {
            channel = AsynchronousSocketChannel.open(loop.group());
            if (from != null) {
                channel.bind(new InetSocketAddress(from, 0));
            }
        } catch (IOException e) { // for example, no file descriptor is available
            loop.execute(() -> {
                if (!cancelled[0]) {
                    onFailed.accept(e);
                }
            });
            return () -> cancelled[0] = true;
        }
        CompletionHandler<Void, Void> connected = new CompletionHandler<>() {
            @Override
            public void completed(Void nothing, Void attachment) {
                loop.execute(() -> {
                    if (cancelled[0]) {
                        return;
                    }
                    try {
                        Connection connection = new Connection(loop, channel, handler);
                        onConnected.accept(connection);
                        connection.read();
                    } catch (IOException e) {
                        closeQuietly(channel);
                        onFailed.accept(e);
                    }
                });
            }

            @Override
            public void failed(Throwable e, Void attachment) {
                loop.execute(() -> {
                    closeQuietly(channel);
                    if (!cancelled[0]) {
                        onFailed.accept(asIoException(e));
                    }
                });
            }
        };
        try {
            channel.connect(to, null, connected);
        } catch (RuntimeException e) { // an unresolved address or an address family that this machine does not support
            connected.failed(e, null);
        }
        return () -> {
            cancelled[0] = true;
            closeQuietly(channel);
        };
    }

    private interface Completion {
        void done(int n, Throwable failure);
    }

    /** Catches all exceptions: one that leaves a completion handler would stop the processing of this connection. */
    private CompletionHandler<Integer, Void> handler(Completion completion) {
        return new CompletionHandler<>() {
            @Override
            public void completed(Integer n, Void attachment) {
                run(n, null);
            }

            @Override
            public void failed(Throwable e, Void attachment) {
                run(0, e);
            }

            private void run(int n, Throwable failure) {
                try {
                    if (!loop.isStopping()) {
                        completion.done(n, failure);
                    }
                } catch (RuntimeException e) {
                    LOG.log(System.Logger.Level.ERROR, "a connection's handler failed", e);
                    closeAndNotify(new IOException("a handler failed", e));
                }
            }
        };
    }

    /** Replaces the handler, starting with the next event. */
    public void setHandler(Handler next) {
        handler = next;
    }

    /** Sets the task that runs when the connection has closed, regardless of which side closed it. */
    public void onClosed(Runnable task) {
        onClosed = task;
    }

    /** Whether the connection is closed; later writes are discarded. */
    public boolean isClosed() {
        return closed;
    }

    /** Passes the unconsumed bytes to the handler again and continues to read. */
    public void resume() {
        if (!delivering) {
            deliver();
            read();
        }
    }

    void read() {
        if (closed || reading) {
            return;
        }
        if (!closingGracefully) {
            ensureReadCapacity();
            if (filledTo == input.capacity()) {
                handler.readAheadExceeded();
                return;
            }
        }
        reading = true;
        channel.read(
                closingGracefully ? loop.discardBuffer() : input.slice(filledTo, input.capacity() - filledTo),
                null,
                onReadDone);
    }

    /**
     * Ensures buffer capacity for the next read; no read is pending. Unconsumed bytes must not stop reading below the
     * read-ahead limit: otherwise a client's close would not be detected, and its request would still be forwarded.
     */
    private void ensureReadCapacity() {
        int unconsumed = filledTo - consumedTo;
        if (!hasReadAheadBuffer && unconsumed == BUFFER_BYTES && loop.acquireReadAhead()) {
            hasReadAheadBuffer = true;
            moveUnconsumedTo(ByteBuffer.allocate(MAX_READ_AHEAD_BYTES));
        } else if (hasReadAheadBuffer && unconsumed < BUFFER_BYTES) {
            releaseReadAhead();
            moveUnconsumedTo(ByteBuffer.allocate(BUFFER_BYTES));
        } else if (consumedTo > 0) {
            moveUnconsumedTo(input);
        }
    }

    private void moveUnconsumedTo(ByteBuffer to) {
        to.put(0, input, consumedTo, filledTo - consumedTo);
        filledTo -= consumedTo;
        consumedTo = 0;
        input = to;
    }

    private void releaseReadAhead() {
        if (hasReadAheadBuffer) {
            hasReadAheadBuffer = false;
            loop.releaseReadAhead();
        }
    }

    private void onReadDone(int n, Throwable failure) {
        reading = false;
        if (closed) {
            return;
        }
        if (failure != null) {
            closeAndNotify(asIoException(failure));
        } else if (n < 0) {
            closeAndNotify(null);
        } else {
            filledTo += closingGracefully ? 0 : n;
            deliver();
            read();
        }
    }

    private void deliver() {
        if (closed || closingGracefully || consumedTo == filledTo) { // input is discarded during a graceful close
            return;
        }
        delivering = true;
        ByteBuffer bytes = input.duplicate().limit(filledTo).position(consumedTo);
        try {
            handler.received(bytes);
        } finally {
            consumedTo = bytes.position();
            delivering = false;
        }
    }

    /** Queues bytes; {@code onWritten} runs when the system has accepted all of them, never after a close. */
    public void write(ByteBuffer bytes, Runnable onWritten) {
        if (closed) {
            return;
        }
        if (writes.add(bytes, onWritten)) {
            channel.write(writes.nextPiece(), null, onWriteDone);
        }
    }

    /** Closes the connection in a later task: writers and handlers do not expect a close during a write. */
    void closeForOverflow() {
        LOG.log(
                System.Logger.Level.WARNING,
                "connection closed: its peer does not read, queuedBytes={0} of all connections",
                Long.toString(loop.writeBudget().totalBytes()));
        loop.execute(() -> closeAndNotify(new IOException("the peer does not read")));
    }

    private void onWriteDone(int n, Throwable failure) {
        if (closed) {
            return;
        }
        if (failure != null) {
            closeAndNotify(asIoException(failure));
            return;
        }
        Runnable onWritten = writes.recordWritten(n);
        if (!writes.isEmpty()) {
            channel.write(writes.nextPiece(), null, onWriteDone);
        }
        if (onWritten != null) {
            onWritten.run();
        }
        shutdownOutputIfDrained();
    }

    /**
     * Closes the connection when all queued bytes are written. A plain close with unread input sends a reset, which may
     * destroy a response in transit; so the output is shut down first and input is discarded for {@link #LINGER_MS}.
     */
    public void closeGracefully() {
        if (closed || closingGracefully) {
            return;
        }
        closingGracefully = true;
        loop.after(LINGER_MS, this::close);
        if (!delivering) {
            read();
        }
        shutdownOutputIfDrained();
    }

    private void shutdownOutputIfDrained() {
        if (closingGracefully && !closed && writes.isEmpty()) {
            try {
                channel.shutdownOutput();
            } catch (IOException e) {
                close();
            }
        }
    }

    private void closeAndNotify(IOException cause) {
        if (closed) {
            return;
        }
        close();
        handler.closed(cause);
    }

    /** Closes the connection immediately; queued writes are discarded and the handler is not called. */
    public void close() {
        if (!closed) {
            closed = true;
            closeQuietly(channel);
            releaseReadAhead();
            writes.clear();
            onClosed.run();
        }
    }

    static void closeQuietly(AutoCloseable channel) {
        try {
            channel.close();
        } catch (Exception e) {
            LOG.log(System.Logger.Level.DEBUG, "closing failed", e);
        }
    }

    private static IOException asIoException(Throwable e) {
        return e instanceof IOException io ? io : new IOException(e);
    }
}
