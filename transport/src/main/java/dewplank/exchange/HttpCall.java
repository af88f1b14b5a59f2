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
 * One call: a connection, a request, an answer that is handed on as it comes. It ends exactly once, by
 * {@link Listener#complete}, {@link Listener#failed} or {@link #cancel}. On the loop's thread only.
 */
public final class HttpCall implements Connection.Handler {
    /** How a call failed. */
    public enum Failure {
        /** No connection came up, in time or at all; nothing was sent. */
        NOT_CONNECTED,
        /** The connection broke before any byte of the request was handed to the system: it cannot have run. */
        NOT_SENT,
        /**
         * The connection ended or broke after a part of the request was sent: it may have run, as a server may begin on
         * a request, and answer it, before it has read a long body.
         */
        BROKEN,
        /** What came is no answer. */
        MALFORMED
    }

    /** Takes the answer. */
    public interface Listener {
        /** The head has come. False: the answer is another call's; it is passed over and the next one waited for. */
        boolean head(int status, Headers headers);

        /** The next bytes of the body. */
        void body(byte[] piece);

        /** The answer is whole. */
        void complete();

        void failed(Failure failure);
    }

    private static final double DEFAULT_IDLE_MS = 1_000; // for servers that do not say how long they wait
    private static final double STATED_IDLE_FACTOR = 0.8; // of the time that a server states
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

    public HttpCall(EventLoop loop, InetSocketAddress to, ConnectionPool pool, ByteBuffer request, Listener listener) {
        this.loop = loop;
        this.to = to;
        this.pool = pool;
        this.request = request;
        this.requestStart = request.position();
        this.listener = listener;
    }

    /**
     * The call gets a connection of its own that carries no other, before or after: for calls whose answers nothing
     * tells from those of another one. To be said before the start.
     */
    public HttpCall exclusive() {
        exclusive = true;
        return this;
    }

    /** The request is a HEAD: its answer has no body, whatever its fields say. To be said before the start. */
    public HttpCall expectHead() {
        parser.expectHead();
        return this;
    }

    /** Takes an idle connection, or opens one within so many milliseconds. */
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

    /** Asked when the connection is there, immediately before the request is written: whether it still may be. */
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
            fail(Failure.NOT_SENT);
            return;
        }
        established.write(request, () -> {});
    }

    /** Whether the connection had carried another call before. */
    public boolean isReused() {
        return isReused;
    }

    /** Whether a connection is there; before, nothing can have been sent, and from then on the server may read. */
    public boolean isConnected() {
        return connection != null;
    }

    /** Whether the request's last byte has been handed to the system. */
    public boolean isSent() {
        return connection != null && !request.hasRemaining();
    }

    /**
     * Whether any byte of the request has been handed to the system. Exact once the connection is closed, as closing
     * waits for a write in progress.
     */
    private boolean hasBegunSending() {
        return request.position() > requestStart;
    }

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

    /** Ends the call; the listener hears nothing more. The server sees its connection close. */
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
