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
 * <p>A read is always pending, so that a peer that closes is noticed at once. One write is pending at a time; further
 * ones wait in a queue. A peer that does not read while more is queued than {@link WriteBudget} allows loses the
 * connection, as if it had broken it. Every method is called, and every callback runs, on the loop's
 * thread. Errors of the socket end the connection and reach the {@link Handler}; no method throws them.
 */
public final class Connection {
    private static final System.Logger LOG = System.getLogger(Connection.class.getName());
    private static final int BUFFER_BYTES = 8 * 1024;
    /**
     * Bytes that a peer may send before its last request is answered: the longest HTTP head and body, 16 and 64 KiB.
     */
    static final int MAX_READ_AHEAD_BYTES = 80 * 1024;

    private static final double LINGER_MS = 1_000;

    /** Receives the bytes and the end of a connection. Called on the loop's thread. */
    public interface Handler {
        /** Consumes bytes; those it leaves are offered again with the next ones, or on {@link #resume}. */
        void received(ByteBuffer bytes);

        /** The peer closed ({@code null}) or broke the connection. Called once, and not after {@link #close}. */
        void closed(IOException why);

        /**
         * The peer exceeded the read-ahead bound. Nothing more is read, nor its end noticed, until bytes are consumed.
         */
        default void readAheadExceeded() {}
    }

    private final EventLoop loop;
    private final AsynchronousSocketChannel channel;
    private ByteBuffer input = ByteBuffer.allocate(BUFFER_BYTES);
    private int consumedTo; // the handler has consumed the bytes before this index
    private int filledTo; // the rest belongs to the pending read, which another thread may be filling
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

    /** A connection attempt under way. */
    public interface Connecting {
        /** Abandons the attempt; neither of its callbacks is called any more. */
        void cancel();
    }

    /**
     * Opens a connection. Calls exactly one of {@code up} and {@code failed}, never before this returns, and neither
     * after a cancel. There is no time-out but the system's.
     */
    public static Connecting open(
            EventLoop loop,
            InetSocketAddress to,
            Handler handler,
            Consumer<Connection> up,
            Consumer<IOException> failed) {
        return open(loop, null, to, handler, up, failed);
    }

    /** The same from a local address; null lets the system choose. */
    public static Connecting open(
            EventLoop loop,
            InetAddress from,
            InetSocketAddress to,
            Handler handler,
            Consumer<Connection> up,
            Consumer<IOException> failed) {
        boolean[] cancelled = new boolean[1];
        AsynchronousSocketChannel channel;
        try {
            channel = AsynchronousSocketChannel.open(loop.group());
            if (from != null) {
                channel.bind(new InetSocketAddress(from, 0));
            }
        } catch (IOException e) { // no descriptor left, say
            loop.execute(() -> {
                if (!cancelled[0]) {
                    failed.accept(e);
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
                        up.accept(connection);
                        connection.read();
                    } catch (IOException e) {
                        closeQuietly(channel);
                        failed.accept(e);
                    }
                });
            }

            @Override
            public void failed(Throwable e, Void attachment) {
                loop.execute(() -> {
                    closeQuietly(channel);
                    if (!cancelled[0]) {
                        failed.accept(asIoException(e));
                    }
                });
            }
        };
        try {
            channel.connect(to, null, connected);
        } catch (RuntimeException e) { // an address of a kind that this machine has none of
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

    /** No exception leaves a completion handler: it would end the thread's task and with it this connection. */
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

    /** Replaces the handler, from the next event on. */
    public void setHandler(Handler next) {
        handler = next;
    }

    /** Sets the task that runs once the connection has closed, whichever side closed it. */
    public void onClosed(Runnable task) {
        onClosed = task;
    }

    /** Whether it has closed; writes are dropped from then on. */
    public boolean isClosed() {
        return closed;
    }

    /** Offers the unread bytes again and continues to read. */
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
            makeCapacity();
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
     * Makes capacity for the next read; none is pending. Unread bytes must not stop reading, up to a bound: behind them
     * a client's close would stay unnoticed, and its request would still be forwarded.
     */
    private void makeCapacity() {
        int unread = filledTo - consumedTo;
        if (!hasReadAheadBuffer && unread == BUFFER_BYTES && loop.acquireReadAhead()) {
            hasReadAheadBuffer = true;
            moveUnreadTo(ByteBuffer.allocate(MAX_READ_AHEAD_BYTES));
        } else if (hasReadAheadBuffer && unread < BUFFER_BYTES) {
            releaseReadAhead();
            moveUnreadTo(ByteBuffer.allocate(BUFFER_BYTES));
        } else if (consumedTo > 0) {
            moveUnreadTo(input);
        }
    }

    private void moveUnreadTo(ByteBuffer to) {
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
        if (closed || closingGracefully || consumedTo == filledTo) { // finishing: what still comes is not looked at
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

    /** Queues bytes; {@code onWritten} runs once the system has the last one, never after the connection has closed. */
    public void write(ByteBuffer bytes, Runnable onWritten) {
        if (closed) {
            return;
        }
        if (writes.add(bytes, onWritten)) {
            channel.write(writes.nextPiece(), null, onWriteDone);
        }
    }

    /** In a later task: neither the writer nor a handler expects the end of a connection within a write. */
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
        Runnable onWritten = writes.taken(n);
        if (!writes.isEmpty()) {
            channel.write(writes.nextPiece(), null, onWriteDone);
        }
        if (onWritten != null) {
            onWritten.run();
        }
        shutdownOutputIfDrained();
    }

    /**
     * Closes the connection once all is written. A plain close with unread bytes sends a reset, which may destroy an
     * answer on its way; so the output is shut down first and input is discarded for {@link #LINGER_MS}.
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

    private void closeAndNotify(IOException why) {
        if (closed) {
            return;
        }
        close();
        handler.closed(why);
    }

    /** Closes the connection at once; queued writes are dropped and the handler is not called. */
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
