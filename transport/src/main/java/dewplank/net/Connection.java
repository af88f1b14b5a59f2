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
    /** How long input is discarded after the output has been shut down. */
    private static final double LINGER_MS = 1_000;

    /** How long input is read after a write has failed. The input of a broken connection usually ends at once. */
    private static final double BROKEN_READ_MS = 1_000;

    /** A connection that closes gracefully is closed if its peer has accepted no byte for this time. */
    private static final double CLOSING_STALL_MS = 10_000;

    /** Receives the bytes and the close of a connection. Called on the loop's thread. */
    public interface Handler {
        /** Consumes bytes; unconsumed bytes are passed again together with the next ones, or on {@link #resume}. */
        void received(ByteBuffer bytes);

        /**
         * The peer closed the connection ({@code cause} is null), or the connection broke. If a write has failed, all
         * input that preceded the failure has been passed to {@link #received}. Called at most once, never after
         * {@link #close}.
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
    private final InputBuffer input;
    private final WriteQueue writes;
    private Handler handler;
    private boolean reading;
    private boolean paused;
    private boolean delivering;
    private boolean closingGracefully;
    private boolean outputShutDown;
    private double lastWriteProgressAt;
    private boolean closed;
    /** Why a write failed; null unless one did. */
    private IOException writeFailure;

    private Runnable onClosed = () -> {};

    private final CompletionHandler<Integer, Void> onReadDone = handler(this::onReadDone);
    private final CompletionHandler<Integer, Void> onWriteDone = handler(this::onWriteDone);

    Connection(EventLoop loop, AsynchronousSocketChannel channel, Handler handler) throws IOException {
        this.loop = loop;
        this.channel = channel;
        this.handler = handler;
        this.writes = new WriteQueue(this, loop.writeBudget());
        this.input = new InputBuffer(loop);
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
        ConnectionAttempt attempt = new ConnectionAttempt(loop, to, handler, onConnected, onFailed);
        attempt.start(from);
        return attempt;
    }

    private interface Completion {
        void done(int n, Throwable failure);
    }

    /** Catches everything: what leaves a completion handler would stop the processing of this connection. */
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
                } catch (Throwable e) {
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

    /**
     * Stops reading until {@link #resumeReading}, so that the peer is slowed down. A read in progress is still
     * delivered. A close by the peer is not detected meanwhile.
     */
    public void pauseReading() {
        paused = true;
    }

    /** Continues to read after {@link #pauseReading}. */
    public void resumeReading() {
        paused = false;
        resume();
    }

    void read() {
        if (closed || reading || paused && !closingGracefully) {
            return;
        }
        if (!closingGracefully) {
            input.prepareRead();
            if (input.isFull()) {
                handler.readAheadExceeded();
                return;
            }
        }
        reading = true;
        channel.read(closingGracefully ? loop.discardBuffer() : input.freeSpace(), null, onReadDone);
    }

    private void onReadDone(int n, Throwable failure) {
        reading = false;
        if (closed) {
            return;
        }
        if (failure != null) {
            closeAndNotify(asIoException(failure));
        } else if (n < 0) {
            closeAndNotify(writeFailure);
        } else {
            input.recordRead(closingGracefully ? 0 : n);
            deliver();
            read();
        }
    }

    private void deliver() {
        if (closed || closingGracefully || input.isEmpty()) { // input is discarded during a graceful close
            return;
        }
        delivering = true;
        ByteBuffer bytes = input.unconsumed();
        try {
            handler.received(bytes);
        } finally {
            input.recordConsumed(bytes);
            delivering = false;
        }
    }

    /** Queues bytes; {@code onWritten} runs when the system has accepted all of them, never after a close. */
    public void write(ByteBuffer bytes, Runnable onWritten) {
        if (closed || writeFailure != null) {
            return;
        }
        if (writes.add(bytes, onWritten)) {
            lastWriteProgressAt = loop.now();
            writeNextPiece();
        }
    }

    private void writeNextPiece() {
        ByteBuffer piece = writes.nextPiece();
        try {
            channel.write(piece, null, onWriteDone);
        } catch (OutOfMemoryError e) { // direct memory is exhausted, which does not end the process
            LOG.log(System.Logger.Level.WARNING, "connection closed: no direct memory for a write");
            loop.execute(() -> closeAndNotify(new IOException(e)));
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
            onWriteFailed(asIoException(failure));
            return;
        }
        lastWriteProgressAt = loop.now();
        Runnable onWritten = writes.recordWritten(n);
        if (!writes.isEmpty()) {
            writeNextPiece();
        }
        if (onWritten != null) {
            onWritten.run();
        }
        shutdownOutputIfDrained();
    }

    /**
     * Reads what the peer sent before the connection broke, such as the complete response to a request that it did not
     * read. The system reports a reset to one call only: if a write receives it, reads end as if the peer had closed
     * the connection.
     */
    private void onWriteFailed(IOException cause) {
        if (!reading || closingGracefully) {
            closeAndNotify(cause);
            return;
        }
        writeFailure = cause;
        writes.clear();
        loop.after(BROKEN_READ_MS, () -> closeAndNotify(cause));
    }

    /**
     * Limits the bytes that the system accepts before the peer has received them, so that an accepted write says more
     * about the peer. If the system refuses the limit, its own stays.
     */
    public void limitSendBuffer(int bytes) {
        try {
            channel.setOption(StandardSocketOptions.SO_SNDBUF, bytes);
        } catch (IOException e) {
            LOG.log(System.Logger.Level.DEBUG, "the send buffer keeps its size", e);
        }
    }

    /** When the system last accepted queued bytes, or began to; 0 if nothing was written. */
    public double lastWriteProgressAt() {
        return lastWriteProgressAt;
    }

    /**
     * Closes the connection when all queued bytes are written. A plain close with unread input sends a reset, which may
     * destroy a response in transit; so the output is shut down first and input is discarded for {@link #LINGER_MS}.
     * The connection is closed earlier if its peer accepts no byte for {@link #CLOSING_STALL_MS}.
     */
    public void closeGracefully() {
        if (closed || closingGracefully) {
            return;
        }
        closingGracefully = true;
        if (!delivering) {
            read();
        }
        shutdownOutputIfDrained();
        if (!outputShutDown) {
            closeWhenStalled();
        }
    }

    private void closeWhenStalled() {
        if (closed || outputShutDown) {
            return;
        }
        double remainingMs = lastWriteProgressAt + CLOSING_STALL_MS - loop.now();
        loop.after(Math.max(0, remainingMs), remainingMs <= 0 ? this::close : this::closeWhenStalled);
    }

    private void shutdownOutputIfDrained() {
        if (!closingGracefully || closed || outputShutDown || !writes.isEmpty()) {
            return;
        }
        outputShutDown = true;
        loop.after(LINGER_MS, this::close);
        try {
            channel.shutdownOutput();
        } catch (IOException e) {
            close();
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
            input.release();
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

    static IOException asIoException(Throwable e) {
        return e instanceof IOException io ? io : new IOException(e);
    }
}
