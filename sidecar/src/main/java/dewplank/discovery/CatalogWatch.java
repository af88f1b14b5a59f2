package dewplank.discovery;

import dewplank.http.BadMessageException;
import dewplank.http.MessageWriter;
import dewplank.http.ResponseParser;
import dewplank.net.Connection;
import dewplank.net.EventLoop;
import dewplank.net.TimerWheel;
import dewplank.settings.InvalidInputException;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.function.Consumer;

/**
 * One streaming request to discovery, from connecting until it ends.
 *
 * <p>{@link DiscoveryClient} creates it. All methods and callbacks run on the event loop's thread. The watch reports
 * its end at most once, with the reason. No callback runs after {@link #close}.
 */
final class CatalogWatch implements Connection.Handler {
    /**
     * The time without a received byte after which a watch ends. Discovery writes a line every 2 s; the additional
     * second allows for a slow discovery. During a network partition the connection stays open without receiving
     * anything, so that only this timeout detects the partition. With a much longer timeout, the sidecar could miss a
     * drain that discovery already counts as delivered.
     */
    static final double IDLE_TIMEOUT_MS = 3_000;

    private static final int MAX_LIST_BYTES = 1 << 20;

    private final EventLoop loop;
    private final InetSocketAddress address;
    private final long version;
    private final double idleTimeoutMs;
    private final Consumer<String> onList;
    private final Runnable onKeepalive;
    private final Consumer<String> onEnd;
    private final ResponseParser parser = new ResponseParser(MAX_LIST_BYTES);
    private final ByteArrayOutputStream partialList = new ByteArrayOutputStream();
    private Connection.Connecting connecting;
    private Connection connection;
    private TimerWheel.Timer idleTimer;
    private int depth;
    private boolean inString;
    private boolean escaped;
    private boolean isClosed;

    /**
     * @param version the list version from which the watch resumes
     * @param idleTimeoutMs the time without a received byte after which the watch ends
     * @param onList called with each list as JSON text
     * @param onKeepalive called at each empty line, which means that nothing has changed
     * @param onEnd called with the reason, for the log, when the watch ends; not called after {@link #close}
     */
    CatalogWatch(
            EventLoop loop,
            InetSocketAddress address,
            long version,
            double idleTimeoutMs,
            Consumer<String> onList,
            Runnable onKeepalive,
            Consumer<String> onEnd) {
        this.loop = loop;
        this.address = address;
        this.version = version;
        this.idleTimeoutMs = idleTimeoutMs;
        this.onList = onList;
        this.onKeepalive = onKeepalive;
        this.onEnd = onEnd;
    }

    /** Connects and sends the request. Called once. */
    void start() {
        restartIdleTimer();
        connecting =
                Connection.open(loop, address, this, this::connected, e -> end("connect failed: " + e.getMessage()));
    }

    private void connected(Connection established) {
        connection = established;
        String target = "/catalog/members?stream=1&index=" + version;
        String host = address.getAddress().getHostAddress() + ":" + address.getPort();
        established.write(MessageWriter.request("GET", target, host).noBody(), () -> {});
    }

    private void restartIdleTimer() {
        if (idleTimer != null) {
            idleTimer.cancel();
        }
        idleTimer = loop.after(idleTimeoutMs, () -> end("idle timeout after " + (long) idleTimeoutMs + " ms"));
    }

    @Override
    public void received(ByteBuffer bytes) {
        restartIdleTimer();
        try {
            boolean isComplete = parser.feed(bytes);
            if (parser.isHeadRead() && parser.status() != 200) {
                end("response status " + parser.status());
                return;
            }
            consumeBody(parser.takeBody());
            if (isComplete) {
                end("response ended");
            }
        } catch (BadMessageException | InvalidInputException e) {
            end(e.getMessage());
        }
    }

    private void consumeBody(byte[] body) throws BadMessageException {
        for (byte b : body) {
            if (isClosed) { // the callback of the last list may have closed this watch
                return;
            }
            consume(b);
        }
    }

    /** Consumes a byte of the response. A list may span several lines, so it ends at the brace that closes it. */
    private void consume(byte b) throws BadMessageException {
        if (depth == 0 && b != '{') {
            if (b == '\n') {
                onKeepalive.run();
            } else if (b != '\r' && b != ' ' && b != '\t') {
                throw new BadMessageException(502, "malformed list");
            }
            return;
        }
        partialList.write(b);
        if (inString) {
            inString = escaped || b != '"';
            escaped = !escaped && b == '\\';
        } else if (b == '"') {
            inString = true;
        } else if (b == '{' || b == '[') {
            depth++;
        } else if (b == '}' || b == ']') {
            depth--;
        }
        if (depth == 0) {
            String list = partialList.toString(StandardCharsets.UTF_8);
            partialList.reset();
            onList.accept(list);
        } else if (partialList.size() > MAX_LIST_BYTES) {
            throw new BadMessageException(502, "list too long");
        }
    }

    @Override
    public void closed(IOException reason) {
        end(reason == null ? "connection closed by discovery" : reason.getMessage());
    }

    private void end(String reason) {
        if (!isClosed) {
            close();
            onEnd.accept(reason);
        }
    }

    /** Closes the watch without calling {@code onEnd}. */
    void close() {
        isClosed = true;
        idleTimer.cancel();
        if (connection != null) {
            connection.close();
        } else if (connecting != null) {
            connecting.cancel();
        }
    }
}
