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
final class Attempt implements Connection.Handler {
    /** How it ended; {@code body} and {@code headers} are those of an answer that served, otherwise null. */
    record End(Outcome outcome, double tookMs, byte[] body, List<Headers.Field> headers, String loadReport) {}

    interface Ended {
        void ended(Attempt attempt, End end);
    }

    private final EventLoop loop;
    private final InetSocketAddress to;
    private final ConnectionPool pool;
    private final ByteBuffer request;
    private final BooleanSupplier wanted;
    private final Ended whenEnded;
    private final ResponseParser parser = new ResponseParser(MessageParser.MAX_BODY_BYTES);
    private final double started;
    private Connection connection;
    private Connection.Connecting connecting;
    private TimerWheel.Timer timeout;
    private TimerWheel.Timer connectTimeout;
    private TimerWheel.Timer writeTimeout;
    private double writeBy;
    private boolean over;

    /** {@code wanted} is asked when the connection has come up: whether the request may still be written to it. */
    Attempt(
            EventLoop loop,
            InetSocketAddress to,
            ConnectionPool pool,
            ByteBuffer request,
            BooleanSupplier wanted,
            Ended whenEnded) {
        this.loop = loop;
        this.to = to;
        this.pool = pool;
        this.request = request;
        this.wanted = wanted;
        this.whenEnded = whenEnded;
        this.started = loop.now();
    }

    /** What is not written whole {@code by} then is never sent; infinite: only the time-outs end it. */
    void start(double timeoutMs, double connectTimeoutMs, double by) {
        writeBy = by;
        timeout = loop.after(timeoutMs, () -> end(Outcome.TIMED_OUT));
        if (by < started + timeoutMs) {
            writeTimeout = loop.after(by - started, this::endUnlessWritten);
        }
        Connection idle = pool.take(to);
        if (idle != null) {
            idle.setHandler(this);
            up(idle);
            return;
        }
        if (connectTimeoutMs > 0) { // without one in the settings, the attempt's own time-out has to do
            connectTimeout = loop.after(connectTimeoutMs, () -> end(Outcome.CONNECT_FAILED));
        }
        connecting = Connection.open(loop, to, this, this::up, e -> end(Outcome.CONNECT_FAILED));
    }

    private void up(Connection up) {
        connection = up;
        connecting = null; // from here on it is the connection that ends: cancelling would close one gone to the pool
        if (connectTimeout != null) {
            connectTimeout.cancel();
        }
        if (loop.now() > writeBy || !wanted.getAsBoolean()) { // the wait has outlived the right to send
            end(Outcome.CONNECT_FAILED);
            return;
        }
        up.write(request, () -> {});
    }

    private void endUnlessWritten() {
        if (request.hasRemaining()) {
            end(Outcome.RESET);
        }
    }

    @Override
    public void received(ByteBuffer bytes) {
        try {
            if (parser.feed(bytes)) {
                answered(!bytes.hasRemaining() && parser.keepAlive());
            }
        } catch (BadMessageException e) { // nobody can tell what it did
            end(Outcome.RESET);
        }
    }

    @Override
    public void closed(IOException why) {
        if (why == null && parser.endOfInput()) {
            answered(false);
        } else {
            end(Outcome.RESET);
        }
    }

    private void answered(boolean reusable) {
        Outcome outcome =
                switch (parser.status()) {
                    case 200 -> Outcome.SERVED;
                    case 503, 504 -> "1".equals(parser.headers().get("X-Never-Ran")) ? Outcome.REJECTED : Outcome.ERROR;
                    default -> Outcome.ERROR;
                };
        if (reusable && !request.hasRemaining() && !over) {
            pool.put(connection, to);
            connection = null;
        }
        end(outcome);
    }

    void cancel() {
        end(Outcome.CANCELLED);
    }

    boolean over() {
        return over;
    }

    /** Closes what has not gone back to the pool: a late answer must not meet the connection's next request. */
    private void end(Outcome outcome) {
        if (over) {
            return;
        }
        over = true;
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
        Outcome proven = proven(outcome);
        boolean served = proven == Outcome.SERVED;
        whenEnded.ended(
                this,
                new End(
                        proven,
                        loop.now() - started,
                        served ? parser.takeBody() : null,
                        served ? parser.headers().endToEnd() : null,
                        parser.headers().get("Endpoint-Load-Metrics")));
    }

    /**
     * A request whose last byte was never handed to the system has not run, whatever came meanwhile; with it handed
     * over, nothing is proven. The buffer tells, not the write's completion, which may come after the break's. Its
     * position is final, and visible here, once the connection is closed: closing waits for a write in progress.
     */
    private Outcome proven(Outcome outcome) {
        boolean unproven = outcome != Outcome.REJECTED && outcome != Outcome.CANCELLED;
        return unproven && request.hasRemaining() ? Outcome.CONNECT_FAILED : outcome;
    }
}
