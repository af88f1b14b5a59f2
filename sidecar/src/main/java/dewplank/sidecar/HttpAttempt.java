package dewplank.sidecar;

import dewplank.balancer.Outcome;
import dewplank.exchange.ConnectionPool;
import dewplank.http.BadMessageException;
import dewplank.http.Headers;
import dewplank.http.MessageParser;
import dewplank.http.ResponseParser;
import dewplank.net.Connection;
import dewplank.net.EventLoop;
import dewplank.net.TimerWheel;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.util.List;
import java.util.function.BooleanSupplier;

/**
 * One HTTP exchange with a server: a connection, a request and its response.
 *
 * <p>{@link AttemptDispatcher} and {@link JvmWarmUp} create it. All methods run on the event loop's thread. An attempt
 * ends exactly once, and passes its {@link Result} to the listener then.
 */
final class HttpAttempt implements Connection.Handler {
    /**
     * How an attempt ended.
     *
     * @param elapsedMs the time since the attempt was created
     * @param body the body of the response, or null unless the outcome is {@code SERVED}
     * @param headers the end-to-end headers of the response, or null unless the outcome is {@code SERVED}
     * @param loadReport the server's load report, or null
     */
    record Result(Outcome outcome, double elapsedMs, byte[] body, List<Headers.Field> headers, String loadReport) {}

    /** Notified when an attempt ends, on the event loop's thread. */
    interface CompletionListener {
        void attemptEnded(HttpAttempt attempt, Result result);
    }

    private final EventLoop loop;
    private final InetSocketAddress server;
    private final ConnectionPool pool;
    private final ByteBuffer request;
    private final BooleanSupplier mayWrite;
    private final CompletionListener listener;
    private final ResponseParser parser = new ResponseParser(MessageParser.MAX_BODY_BYTES);
    private final double startedAtMs;
    private Connection connection;
    private Connection.Connecting connecting;
    private TimerWheel.Timer timeout;
    private TimerWheel.Timer connectTimeout;
    private TimerWheel.Timer writeTimeout;
    private double writeDeadlineMs;
    private boolean hasEnded;

    /** @param mayWrite called when the connection is established; whether the request may still be written to it */
    HttpAttempt(
            EventLoop loop,
            InetSocketAddress server,
            ConnectionPool pool,
            ByteBuffer request,
            BooleanSupplier mayWrite,
            CompletionListener listener) {
        this.loop = loop;
        this.server = server;
        this.pool = pool;
        this.request = request;
        this.mayWrite = mayWrite;
        this.listener = listener;
        this.startedAtMs = loop.now();
    }

    /**
     * @param writeDeadlineMs event loop time by which the request must be completely written; otherwise it counts as
     *     not sent; may be infinite
     */
    void start(double timeoutMs, double connectTimeoutMs, double writeDeadlineMs) {
        this.writeDeadlineMs = writeDeadlineMs;
        timeout = loop.after(timeoutMs, () -> end(Outcome.TIMED_OUT));
        if (writeDeadlineMs < startedAtMs + timeoutMs) {
            writeTimeout = loop.after(writeDeadlineMs - startedAtMs, this::resetUnlessWritten);
        }
        Connection idle = pool.take(server);
        if (idle != null) {
            idle.setHandler(this);
            connected(idle);
            return;
        }
        if (connectTimeoutMs > 0) { // if the settings have none, only the attempt's timeout applies
            connectTimeout = loop.after(connectTimeoutMs, () -> end(Outcome.CONNECT_FAILED));
        }
        connecting = Connection.open(loop, server, this, this::connected, e -> end(Outcome.CONNECT_FAILED));
    }

    private void connected(Connection established) {
        connection = established;
        connecting = null; // a later cancel could close a connection that was returned to the pool
        if (connectTimeout != null) {
            connectTimeout.cancel();
        }
        if (loop.now() > writeDeadlineMs
                || !mayWrite.getAsBoolean()) { // too late, request complete, or server draining or removed
            end(Outcome.CONNECT_FAILED);
            return;
        }
        established.write(request, () -> {});
    }

    private void resetUnlessWritten() {
        if (request.hasRemaining()) {
            end(Outcome.RESET);
        }
    }

    @Override
    public void received(ByteBuffer bytes) {
        try {
            if (parser.feed(bytes)) {
                responseComplete(!bytes.hasRemaining() && parser.keepAlive());
            }
        } catch (BadMessageException e) { // the request may have run
            end(Outcome.RESET);
        }
    }

    @Override
    public void closed(IOException reason) {
        if (parser.completesAtEnd(reason, !request.hasRemaining())) {
            responseComplete(false);
        } else {
            end(Outcome.RESET);
        }
    }

    private void responseComplete(boolean reusable) {
        Outcome outcome =
                switch (parser.status()) {
                    case 200 -> Outcome.SERVED;
                    case 503, 504 -> "1".equals(parser.headers().get("X-Never-Ran")) ? Outcome.REJECTED : Outcome.ERROR;
                    default -> Outcome.ERROR;
                };
        if (reusable && !request.hasRemaining() && !hasEnded) {
            pool.put(connection, server);
            connection = null;
        }
        end(outcome);
    }

    void cancel() {
        end(Outcome.CANCELLED);
    }

    /**
     * Ends the attempt. A connection that was not returned to the pool is closed, so that a late response is not
     * mistaken for the response to another request.
     */
    private void end(Outcome outcome) {
        if (hasEnded) {
            return;
        }
        hasEnded = true;
        timeout.cancel();
        if (connectTimeout != null) {
            connectTimeout.cancel();
        }
        if (writeTimeout != null) {
            writeTimeout.cancel();
        }
        if (connection != null) {
            connection.close();
        } else if (connecting != null) {
            connecting.cancel();
        }
        Outcome finalOutcome = adjustForUnwrittenRequest(outcome);
        boolean served = finalOutcome == Outcome.SERVED;
        listener.attemptEnded(
                this,
                new Result(
                        finalOutcome,
                        loop.now() - startedAtMs,
                        served ? parser.takeBody() : null,
                        served ? parser.headers().endToEnd() : null,
                        parser.headers().get("Endpoint-Load-Metrics")));
    }

    /**
     * Returns {@code CONNECT_FAILED} if the last byte of the request was never passed to the operating system. Such a
     * request has not run, even if a response or a reset was received. Otherwise it may have run. The buffer's position
     * decides, not the completion of the write, which may be reported after the reset. The position is final and
     * visible to this thread once the connection is closed, because closing waits for a write in progress.
     */
    private Outcome adjustForUnwrittenRequest(Outcome outcome) {
        boolean isAdjustable = outcome != Outcome.REJECTED && outcome != Outcome.CANCELLED;
        return isAdjustable && request.hasRemaining() ? Outcome.CONNECT_FAILED : outcome;
    }
}
