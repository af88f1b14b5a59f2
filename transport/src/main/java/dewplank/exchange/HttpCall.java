package dewplank.exchange;

import dewplank.http.BadMessageException;
import dewplank.http.Headers;
import dewplank.http.ResponseParser;
import dewplank.net.Connection;
import dewplank.net.EventLoop;
import dewplank.net.ReceiveBudget;
import dewplank.net.TimerWheel;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.util.function.BooleanSupplier;

/**
 * An HTTP call: reuses or opens a connection, writes a request and passes the response to the listener as it arrives.
 *
 * <p>It ends exactly once, with {@link Listener#complete}, {@link Listener#failed} or {@link #cancel}. Errors are
 * reported to the listener as a {@link Failure}, never thrown. Only connecting has a timeout; the caller limits the
 * rest of the call by cancelling it. Used on the loop's thread only.
 */
public final class HttpCall implements Connection.Handler {
    /** The kind of failure, which determines whether the call may be retried. */
    public enum Failure {
        /** The connection attempt failed or timed out; nothing was sent. */
        NOT_CONNECTED,
        /** The connection broke before the system accepted any byte of the request, so the request cannot have run. */
        NOT_SENT,
        /** The send condition was false, so nothing was sent. The server has not failed. */
        WITHHELD,
        /**
         * The connection closed or broke after part of the request was sent. The request may have run, as a server may
         * process a request, and respond to it, before it has read a long body.
         */
        BROKEN,
        /** The received bytes are not a valid HTTP/1.1 response. */
        MALFORMED
    }

    /** Receives the response. Called on the loop's thread. */
    public interface Listener {
        /** The head has arrived. Returns false if the response belongs to another call: it is skipped. */
        boolean head(int status, Headers headers);

        /** The next bytes of the body have arrived. */
        void body(byte[] piece);

        /** The response is complete. */
        void complete();

        /** The call failed; no further method is called. */
        void failed(Failure failure);

        /** Bytes of the response that the listener keeps. */
        default long heldBytes() {
            return 0;
        }

        /**
         * Frees the bytes that the listener keeps, because all messages together hold too much memory. Returns false if
         * it can't: the call then fails with {@link Failure#MALFORMED}.
         */
        default boolean releaseHeldBytes() {
            return false;
        }
    }

    private static final double DEFAULT_IDLE_MS = 1_000; // for servers that send no Keep-Alive timeout
    /**
     * Fraction of the server's Keep-Alive timeout after which an idle connection is not reused: a request that is sent
     * while the server closes the connection would fail.
     */
    private static final double KEEP_ALIVE_FRACTION = 0.8;

    /** The parser's limit does not matter, as each piece of a body is taken out of it at once. */
    private static final int UNBOUNDED_BODY_BYTES = Integer.MAX_VALUE;

    /** Small, because a long request that is still in this machine's buffer counts as sent. */
    private static final int SEND_BUFFER_BYTES = 64 * 1024;

    private static final ByteBuffer NO_BODY = ByteBuffer.allocate(0);

    private final EventLoop loop;
    private final InetSocketAddress to;
    private final ConnectionPool pool;
    private final ByteBuffer request;
    private final ByteBuffer requestBody;
    private final int requestStart;
    private final Listener listener;
    private final ResponseParser parser = new ResponseParser(UNBOUNDED_BODY_BYTES);
    private final ReceiveBudget.Account held;
    private Connection connection;
    private Connection.Connecting connecting;
    private TimerWheel.Timer connectTimeout;
    private boolean headDelivered;
    private boolean skippingResponse;
    private boolean isReused;
    private boolean isDone;
    private boolean usesDedicatedConnection;
    private boolean collectsBody;
    private long maxBodyBytes;
    private long bodyBytes;
    private BooleanSupplier sendCondition = () -> true;

    /** Creates a call to {@code to}; {@code request} is the encoded message, which the call consumes. */
    public HttpCall(EventLoop loop, InetSocketAddress to, ConnectionPool pool, ByteBuffer request, Listener listener) {
        this(loop, to, pool, request, NO_BODY, listener);
    }

    /** Creates a call whose message is in two buffers, so that a long body need not be copied. */
    public HttpCall(
            EventLoop loop,
            InetSocketAddress to,
            ConnectionPool pool,
            ByteBuffer request,
            ByteBuffer requestBody,
            Listener listener) {
        this.loop = loop;
        this.to = to;
        this.pool = pool;
        this.request = request;
        this.requestBody = requestBody;
        this.held = loop.receiveBudget().open(ReceiveBudget.Origin.FLEET, this::giveUp);
        this.requestStart = request.position();
        this.listener = listener;
    }

    /**
     * Uses a new connection for this call and closes it afterwards: for responses that cannot be distinguished from
     * those to another call. Must be called before {@link #start}.
     */
    public HttpCall useDedicatedConnection() {
        usesDedicatedConnection = true;
        return this;
    }

    /** Expects a response to a HEAD, which has no body regardless of its fields. Called before {@link #start}. */
    public HttpCall expectHead() {
        parser.expectHead();
        return this;
    }

    /**
     * For a listener that collects the body: a response with a longer body, or one that holds too much memory together
     * with all others, fails with {@link Failure#MALFORMED}. Any other listener has to bound what it keeps. Called
     * before {@link #start}.
     */
    public HttpCall collectBody(long maxBytes) {
        collectsBody = true;
        maxBodyBytes = maxBytes;
        return this;
    }

    /** Stops reading the response until {@link #resumeReading}. */
    public void pauseReading() {
        if (connection != null) {
            connection.pauseReading();
        }
    }

    /** Continues to read the response. */
    public void resumeReading() {
        if (!isDone && connection != null) {
            connection.resumeReading();
        }
    }

    /** Starts the call on an idle connection, or on a new one opened within {@code connectTimeoutMs}. */
    public void start(double connectTimeoutMs) {
        Connection idle = usesDedicatedConnection ? null : pool.take(to);
        if (idle != null) {
            isReused = true;
            idle.setHandler(this);
            onConnected(idle);
            return;
        }
        connectTimeout = loop.after(connectTimeoutMs, () -> fail(Failure.NOT_CONNECTED));
        connecting = Connection.open(loop, to, this, this::onOpened, e -> fail(Failure.NOT_CONNECTED));
    }

    /** Sets a condition that is checked after connecting, immediately before the request is written. */
    public HttpCall sendOnlyIf(BooleanSupplier condition) {
        sendCondition = condition;
        return this;
    }

    private void onOpened(Connection opened) {
        opened.limitSendBuffer(SEND_BUFFER_BYTES);
        onConnected(opened);
    }

    private void onConnected(Connection established) {
        connection = established;
        connecting = null;
        if (connectTimeout != null) {
            connectTimeout.cancel();
        }
        if (!sendCondition.getAsBoolean()) {
            fail(Failure.WITHHELD);
            return;
        }
        established.write(request, () -> {});
        if (requestBody.hasRemaining()) {
            established.write(requestBody, () -> {});
        }
    }

    /** Whether the connection has carried an earlier call. */
    public boolean isReused() {
        return isReused;
    }

    /** Whether the call is connected; before that, nothing has been sent. */
    public boolean isConnected() {
        return connection != null;
    }

    /** Whether the system has accepted the complete request. */
    public boolean isSent() {
        return connection != null && isWritten();
    }

    private boolean isWritten() {
        return !request.hasRemaining() && !requestBody.hasRemaining();
    }

    /**
     * Whether the system has accepted any byte of the request. Exact when the connection is closed, because closing
     * waits for a write in progress.
     */
    private boolean hasStartedSending() {
        return request.position() > requestStart;
    }

    /** Whether the call has completed, failed or been cancelled. */
    public boolean isDone() {
        return isDone;
    }

    @Override
    public void received(ByteBuffer bytes) {
        try {
            while (!isDone && bytes.hasRemaining()) {
                boolean isComplete = parser.feed(bytes);
                deliverHead();
                deliverBody();
                if (isComplete && !isDone) {
                    finishResponse(bytes);
                }
            }
            if (!isDone && !held.hold(heldBytes())) {
                giveUp();
            }
        } catch (BadMessageException e) {
            fail(Failure.MALFORMED);
        }
    }

    private long heldBytes() {
        return parser.heldBytes() + listener.heldBytes() + (collectsBody ? bodyBytes : 0);
    }

    private void giveUp() {
        if (listener.releaseHeldBytes()) {
            held.release();
        } else {
            fail(Failure.MALFORMED);
        }
    }

    private void deliverHead() {
        if (!headDelivered && parser.isHeadRead() && !isDone) {
            headDelivered = true;
            skippingResponse = !listener.head(parser.status(), parser.headers());
        }
    }

    private void deliverBody() {
        if (headDelivered && !isDone) {
            byte[] piece = parser.takeBody();
            bodyBytes += piece.length;
            if (collectsBody && bodyBytes > maxBodyBytes) {
                fail(Failure.MALFORMED);
            } else if (piece.length > 0 && !skippingResponse) {
                listener.body(piece);
            }
        }
    }

    private void finishResponse(ByteBuffer unread) {
        if (skippingResponse) {
            headDelivered = false;
            skippingResponse = false;
            if (!parser.keepAlive()) {
                fail(Failure.BROKEN);
                return;
            }
            parser.reset();
            return;
        }
        finish(parser.keepAlive() && !unread.hasRemaining());
    }

    private void finish(boolean reusable) {
        isDone = true;
        held.release();
        cancelConnectTimeout();
        if (reusable && !usesDedicatedConnection && isWritten()) {
            connection.resumeReading(); // it may have been paused, and the pool has to detect a close
            pool.put(connection, to, idleMs());
        } else {
            connection.close();
        }
        listener.complete();
    }

    private double idleMs() {
        String keepAlive = parser.headers().get("Keep-Alive");
        int index = keepAlive == null ? -1 : keepAlive.indexOf("timeout=");
        if (index < 0) {
            return DEFAULT_IDLE_MS;
        }
        String timeout = keepAlive.substring(index + "timeout=".length()).strip();
        int end = 0;
        while (end < timeout.length() && end < 6 && Character.isDigit(timeout.charAt(end))) {
            end++;
        }
        return end == 0 ? DEFAULT_IDLE_MS : KEEP_ALIVE_FRACTION * 1000 * Integer.parseInt(timeout.substring(0, end));
    }

    @Override
    public void closed(IOException cause) {
        if (isDone) {
            return;
        }
        if (headDelivered && !skippingResponse && parser.completesAtEnd(cause, isWritten())) {
            deliverBody();
            finish(false);
        } else {
            fail(hasStartedSending() ? Failure.BROKEN : Failure.NOT_SENT);
        }
    }

    /** Cancels the call: the listener is not called afterwards, and the connection is closed. */
    public void cancel() {
        if (!isDone) {
            isDone = true;
            release();
        }
    }

    private void fail(Failure failure) {
        if (!isDone) {
            isDone = true;
            release();
            listener.failed(failure);
        }
    }

    private void cancelConnectTimeout() {
        if (connectTimeout != null) {
            connectTimeout.cancel();
        }
    }

    private void release() {
        held.release();
        cancelConnectTimeout();
        if (connection != null) {
            connection.close();
        } else if (connecting != null) {
            connecting.cancel();
        }
    }
}
