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

/** One watch on discovery, from the call to its end. It ends by itself at most once, and says why. */
final class Watch implements Connection.Handler {
    /**
     * Discovery writes a line every 2 s. One that is cut off says nothing at all, and its connection stays
     * open: only the silence shows. A second more is for a discovery that answers late; much longer, and drains
     * would stay unseen past the time at which they count as told.
     */
    static final double SILENCE_MS = 3_000;

    private static final int MAX_LIST = 1 << 20;

    private final EventLoop loop;
    private final InetSocketAddress at;
    private final long version;
    private final double silenceMs;
    private final Consumer<String> lists;
    private final Runnable alive;
    private final Consumer<String> ended;
    private final ResponseParser parser = new ResponseParser(MAX_LIST);
    private final ByteArrayOutputStream partial = new ByteArrayOutputStream();
    private Connection.Connecting connecting;
    private Connection connection;
    private TimerWheel.Timer silence;
    private int depth;
    private boolean inString;
    private boolean escaped;
    private boolean over;

    /** {@code alive}: an empty line has come, so nothing has changed. */
    Watch(
            EventLoop loop,
            InetSocketAddress at,
            long version,
            double silenceMs,
            Consumer<String> lists,
            Runnable alive,
            Consumer<String> ended) {
        this.loop = loop;
        this.at = at;
        this.version = version;
        this.silenceMs = silenceMs;
        this.lists = lists;
        this.alive = alive;
        this.ended = ended;
    }

    void start() {
        heard();
        connecting = Connection.open(loop, at, this, this::up, e -> end("no connection: " + e.getMessage()));
    }

    private void up(Connection up) {
        connection = up;
        String target = "/catalog/members?stream=1&index=" + version;
        String host = at.getAddress().getHostAddress() + ":" + at.getPort();
        up.write(MessageWriter.request("GET", target, host).noBody(), () -> {});
    }

    private void heard() {
        if (silence != null) {
            silence.cancel();
        }
        silence = loop.after(silenceMs, () -> end("nothing heard for " + (long) silenceMs + " ms"));
    }

    @Override
    public void received(ByteBuffer bytes) {
        heard();
        try {
            boolean whole = parser.feed(bytes);
            if (parser.isHeadRead() && parser.status() != 200) {
                end("answered " + parser.status());
                return;
            }
            takeLists(parser.takeBody());
            if (whole) {
                end("discovery ended it");
            }
        } catch (BadMessageException | InvalidInputException e) {
            end(e.getMessage());
        }
    }

    private void takeLists(byte[] body) throws BadMessageException {
        for (byte b : body) {
            if (over) { // the news of a list may have ended this watch
                return;
            }
            take(b);
        }
    }

    /** A list may come indented, over many lines: it ends with the brace that opened it. */
    private void take(byte b) throws BadMessageException {
        if (depth == 0 && b != '{') {
            if (b == '\n') {
                alive.run();
            } else if (b != '\r' && b != ' ' && b != '\t') {
                throw new BadMessageException(502, "what came is no list");
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
            lists.accept(list);
        } else if (partial.size() > MAX_LIST) {
            throw new BadMessageException(502, "a list is too long");
        }
    }

    @Override
    public void closed(IOException why) {
        end(why == null ? "discovery closed it" : why.getMessage());
    }

    private void end(String why) {
        if (!over) {
            close();
            ended.accept(why);
        }
    }

    void close() {
        over = true;
        silence.cancel();
        if (connection != null) {
            connection.close();
        } else if (connecting != null) {
            connecting.cancel();
        }
    }
}
