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
 * <p>{@link AttemptDispatcher} and {@link Rehearsal} create it. All of it runs on the event loop's thread. It ends
 * exactly once, and the listener gets its {@link Result} then.
 */
final class HttpAttempt implements Connection.Handler {
    /**
     * How an attempt ended.
     *
     * @param elapsedMs since the attempt was created
     * @param body the response's, or null unless it was served
     * @param headers the response's end-to-end headers, or null unless it was served
     * @param loadReport the server's load report, or null
     */
    record Result(Outcome outcome, double elapsedMs, byte[] body, List<Headers.Field> headers, String loadReport) {}

    /** Gets an attempt's end, on the event loop's thread. */
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

    /** @param mayWrite called once the connection is up: whether the request may still be written to it */
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
     * @param writeDeadlineMs loop time by which the request is completely written, or else never sent; may be infinite
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
        if (connectTimeoutMs > 0) { // without one in the settings only the attempt's own time-out applies
            connectTimeout = loop.after(connectTimeoutMs, () -> end(Outcome.CONNECT_FAILED));
        }
        connecting = Connection.open(loop, server, this, this::connected, e -> end(Outcome.CONNECT_FAILED));
    }

    private void connected(Connection established) {
        connection = established;
        connecting = null; // from here on it is the connection that ends: cancelling would close one gone to the pool
        if (connectTimeout != null) {
            connectTimeout.cancel();
        }
        if (loop.now() > writeDeadlineMs || !mayWrite.getAsBoolean()) { // too late, or the client or server is gone
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
    public void closed(IOException why) {
        if (why == null && parser.endOfInput()) {
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

    /** Closes a connection that did not return to the pool: a late response must not meet its next request. */
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
        Outcome provenOutcome = provenOutcome(outcome);
        boolean served = provenOutcome == Outcome.SERVED;
        listener.attemptEnded(
                this,
                new Result(
                        provenOutcome,
                        loop.now() - startedAtMs,
                        served ? parser.takeBody() : null,
                        served ? parser.headers().endToEnd() : null,
                        parser.headers().get("Endpoint-Load-Metrics")));
    }

    /**
     * A request whose last byte was never handed to the system has not run, whatever came meanwhile; with it handed
     * over, nothing is proven. The buffer is what counts, not the write's completion, which may come after the reset's.
     * Its position is final, and visible here, once the connection is closed: closing waits for a write in progress.
     */
    private Outcome provenOutcome(Outcome outcome) {
        boolean unproven = outcome != Outcome.REJECTED && outcome != Outcome.CANCELLED;
        return unproven && request.hasRemaining() ? Outcome.CONNECT_FAILED : outcome;
    }
}
