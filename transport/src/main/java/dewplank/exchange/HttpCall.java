package dewplank.exchange;

import dewplank.http.BadMessageException;
import dewplank.http.Headers;
import dewplank.http.ResponseParser;
import dewplank.net.Connection;
import dewplank.net.EventLoop;
import dewplank.net.TimerWheel;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.util.function.BooleanSupplier;

/**
 * One HTTP call: it takes or opens a connection, writes a request and passes the answer on as it comes.
 *
 * <p>It ends exactly once, by {@link Listener#complete}, {@link Listener#failed} or {@link #cancel}. Errors reach the
 * listener as a {@link Failure}; nothing is thrown. There is no time-out but that of connecting: the user bounds the
 * rest and cancels. On the loop's thread only.
 */
public final class HttpCall implements Connection.Handler {
    /** How a call failed, which decides whether it may be retried. */
    public enum Failure {
        /** No connection came up, in time or at all; nothing was sent. */
        NOT_CONNECTED,
        /** The connection broke before any byte of the request was handed to the system: it cannot have run. */
        NOT_SENT,
        /** The condition for sending did not hold: nothing was sent, and the server has no part in it. */
        WITHHELD,
        /**
         * The connection ended or broke after a part of the request was sent: it may have run, as a server may begin on
         * a request, and answer it, before it has read a long body.
         */
        BROKEN,
        /** The bytes received are no HTTP/1.1 answer. */
        MALFORMED
    }

    /** Receives the answer. Called on the loop's thread. */
    public interface Listener {
        /** The head arrived. Returns false if it answers another call: it is skipped and the next one is awaited. */
        boolean head(int status, Headers headers);

        /** The next bytes of the body. */
        void body(byte[] piece);

        /** The answer is complete. */
        void complete();

        /** The call failed; nothing more is delivered. */
        void failed(Failure failure);
    }

    private static final double DEFAULT_IDLE_MS = 1_000; // for servers that state no Keep-Alive timeout
    private static final double STATED_IDLE_FACTOR =
            0.8; // of the stated timeout: requests must not meet the server's close
    private static final int UNBOUNDED_BODY_BYTES = Integer.MAX_VALUE;

    private final EventLoop loop;
    private final InetSocketAddress to;
    private final ConnectionPool pool;
    private final ByteBuffer request;
    private final int requestStart;
    private final Listener listener;
    private final ResponseParser parser = new ResponseParser(UNBOUNDED_BODY_BYTES);
    private Connection connection;
    private Connection.Connecting connecting;
    private TimerWheel.Timer connectTimeout;
    private boolean headDelivered;
    private boolean skippingAnswer;
    private boolean isReused;
    private boolean isOver;
    private boolean exclusive;
    private BooleanSupplier sendCondition = () -> true;

    /** A call to {@code to}; {@code request} is the encoded message, which the call consumes. */
    public HttpCall(EventLoop loop, InetSocketAddress to, ConnectionPool pool, ByteBuffer request, Listener listener) {
        this.loop = loop;
        this.to = to;
        this.pool = pool;
        this.request = request;
        this.requestStart = request.position();
        this.listener = listener;
    }

    /**
     * Gives the call a connection that carries no other call, before or after: for answers that cannot be told from
     * those of another call. Before {@link #start} only.
     */
    public HttpCall exclusive() {
        exclusive = true;
        return this;
    }

    /** Expects the answer to a HEAD, which has no body whatever its fields say. Before {@link #start} only. */
    public HttpCall expectHead() {
        parser.expectHead();
        return this;
    }

    /** Starts the call on an idle connection, or opens one within {@code connectTimeoutMs}. */
    public void start(double connectTimeoutMs) {
        Connection idle = exclusive ? null : pool.take(to);
        if (idle != null) {
            isReused = true;
            idle.setHandler(this);
            up(idle);
            return;
        }
        connectTimeout = loop.after(connectTimeoutMs, () -> fail(Failure.NOT_CONNECTED));
        connecting = Connection.open(loop, to, this, this::up, e -> fail(Failure.NOT_CONNECTED));
    }

    /** Sets a condition that is checked once connected, immediately before the request is written. */
    public HttpCall sendOnlyIf(BooleanSupplier condition) {
        sendCondition = condition;
        return this;
    }

    private void up(Connection established) {
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
    }

    /** Whether the connection carried another call before. */
    public boolean isReused() {
        return isReused;
    }

    /** Whether it is connected: nothing can have been sent before, and the server may read from then on. */
    public boolean isConnected() {
        return connection != null;
    }

    /** Whether the system has the request's last byte. */
    public boolean isSent() {
        return connection != null && !request.hasRemaining();
    }

    /**
     * Whether the system has any byte of the request. Exact once the connection is closed, as closing waits for a write
     * in progress.
     */
    private boolean hasBegunSending() {
        return request.position() > requestStart;
    }

    /** Whether it completed, failed or was cancelled. */
    public boolean isOver() {
        return isOver;
    }

    @Override
    public void received(ByteBuffer bytes) {
        try {
            while (!isOver && bytes.hasRemaining()) {
                boolean isComplete = parser.feed(bytes);
                deliverHead();
                deliverBody();
                if (isComplete && !isOver) {
                    answerComplete(bytes);
                }
            }
        } catch (BadMessageException e) {
            fail(Failure.MALFORMED);
        }
    }

    private void deliverHead() {
        if (!headDelivered && parser.isHeadRead() && !isOver) {
            headDelivered = true;
            skippingAnswer = !listener.head(parser.status(), parser.headers());
        }
    }

    private void deliverBody() {
        if (headDelivered && !isOver) {
            byte[] piece = parser.takeBody();
            if (piece.length > 0 && !skippingAnswer) {
                listener.body(piece);
            }
        }
    }

    private void answerComplete(ByteBuffer unread) {
        if (skippingAnswer) {
            headDelivered = false;
            skippingAnswer = false;
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
        isOver = true;
        cancelTimers();
        if (reusable && !exclusive && !request.hasRemaining()) {
            pool.put(connection, to, idleMs());
        } else {
            connection.close();
        }
        listener.complete();
    }

    private double idleMs() {
        String stated = parser.headers().get("Keep-Alive");
        int at = stated == null ? -1 : stated.indexOf("timeout=");
        if (at < 0) {
            return DEFAULT_IDLE_MS;
        }
        String unread = stated.substring(at + "timeout=".length()).strip();
        int end = 0;
        while (end < unread.length() && end < 6 && Character.isDigit(unread.charAt(end))) {
            end++;
        }
        return end == 0 ? DEFAULT_IDLE_MS : STATED_IDLE_FACTOR * 1000 * Integer.parseInt(unread.substring(0, end));
    }

    @Override
    public void closed(IOException why) {
        if (isOver) {
            return;
        }
        if (why == null && headDelivered && !skippingAnswer && parser.endOfInput()) {
            deliverBody();
            finish(false);
        } else {
            fail(hasBegunSending() ? Failure.BROKEN : Failure.NOT_SENT);
        }
    }

    /** Cancels the call: the listener is not called any more, and the connection closes. */
    public void cancel() {
        if (!isOver) {
            isOver = true;
            release();
        }
    }

    private void fail(Failure failure) {
        if (!isOver) {
            isOver = true;
            release();
            listener.failed(failure);
        }
    }

    private void cancelTimers() {
        if (connectTimeout != null) {
            connectTimeout.cancel();
        }
    }

    private void release() {
        cancelTimers();
        if (connection != null) {
            connection.close();
        } else if (connecting != null) {
            connecting.cancel();
        }
    }
}
