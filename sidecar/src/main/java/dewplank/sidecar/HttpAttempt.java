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

/** One exchange with a server: a connection, a request, an answer. It ends exactly once, with an outcome. */
final class HttpAttempt implements Connection.Handler {
    /** How it ended; {@code body} and {@code headers} are those of an answer that served, otherwise null. */
    record Result(Outcome outcome, double elapsedMs, byte[] body, List<Headers.Field> headers, String loadReport) {}

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

    /** {@code wanted} is asked when the connection has come up: whether the request may still be written to it. */
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

    /** What is not written whole {@code by} then is never sent; infinite: only the time-outs end it. */
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
        if (connectTimeoutMs > 0) { // without one in the settings, the attempt's own time-out has to do
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
        if (loop.now() > writeDeadlineMs || !mayWrite.getAsBoolean()) { // the wait has outlived the right to send
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
        } catch (BadMessageException e) { // nobody can tell what it did
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

    /** Closes what has not gone back to the pool: a late answer must not meet the connection's next request. */
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
     * over, nothing is proven. The buffer tells, not the write's completion, which may come after the break's. Its
     * position is final, and visible here, once the connection is closed: closing waits for a write in progress.
     */
    private Outcome provenOutcome(Outcome outcome) {
        boolean unproven = outcome != Outcome.REJECTED && outcome != Outcome.CANCELLED;
        return unproven && request.hasRemaining() ? Outcome.CONNECT_FAILED : outcome;
    }
}
