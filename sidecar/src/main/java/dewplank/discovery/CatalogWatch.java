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
 * One streaming request to discovery, from the connection to its end.
 *
 * <p>{@link DiscoveryClient} creates it. All methods and callbacks run on the event loop's thread. It ends by itself at
 * most once, and gives the reason; after {@link #close} no callback comes.
 */
final class CatalogWatch implements Connection.Handler {
    /**
     * Discovery writes a line every 2 s. One behind a network partition sends nothing, and its connection stays
     * open: only the time-out shows it. A second more is for a discovery that is slow. With much more, drains would
     * be missed past the time at which discovery counts them as delivered.
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
    private final ByteArrayOutputStream partial = new ByteArrayOutputStream();
    private Connection.Connecting connecting;
    private Connection connection;
    private TimerWheel.Timer idleTimer;
    private int depth;
    private boolean inString;
    private boolean escaped;
    private boolean isClosed;

    /**
     * @param version the list's version that the watch resumes from
     * @param idleTimeoutMs after so long without a byte the watch ends
     * @param onList gets each list as JSON text
     * @param onKeepalive runs at each empty line: nothing has changed
     * @param onEnd gets the reason for the log; not called after {@link #close}
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
            if (isClosed) { // the list just delivered may have closed this watch
                return;
            }
            consume(b);
        }
    }

    /** A list may come indented, over many lines: it ends with the brace that opened it. */
    private void consume(byte b) throws BadMessageException {
        if (depth == 0 && b != '{') {
            if (b == '\n') {
                onKeepalive.run();
            } else if (b != '\r' && b != ' ' && b != '\t') {
                throw new BadMessageException(502, "malformed list");
            }
            return;
        }
        partial.write(b);
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
            String list = partial.toString(StandardCharsets.UTF_8);
            partial.reset();
            onList.accept(list);
        } else if (partial.size() > MAX_LIST_BYTES) {
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

    /** Ends the watch without a callback. */
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
