package dewplank.emulator.loopback;

import dewplank.http.BadMessageException;
import dewplank.http.MessageParser;
import dewplank.http.ResponseParser;
import dewplank.net.Connection;
import dewplank.net.EventLoop;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;

/**
 * A client of one HTTP/1.1 address, on a loop: keeps its connections, opens more when all are busy, up to a bound;
 * calls beyond wait in line. A call that meets the close of a kept connection before any byte of its answer goes once
 * more on a new one.
 */
public final class HttpClient {

    /** Told once. {@code parser} holds the answer's head; null: the connection never came up, or broke. */
    public interface ResponseHandler {
        void answered(ResponseParser parser, byte[] body);

        /** Whether bodies are handed on as they come; then {@link #answered} gets none. */
        default boolean streamsBody() {
            return false;
        }

        /** The next bytes of the body. */
        default void onBodyPart(ResponseParser parser, byte[] bytes) {}
    }

    /** One exchange. */
    public final class Call implements Connection.Handler {
        private final ByteBuffer request;
        private final ResponseHandler handler;
        private final ResponseParser parser;
        private Connection connection;
        private Connection.Connecting connecting;
        private boolean isReused;
        private boolean hasReceived;
        private boolean hasEnded;

        private Call(ByteBuffer request, ResponseHandler handler) {
            this.request = request;
            this.handler = handler;
            this.parser = new ResponseParser(keepsBodies ? MessageParser.MAX_BODY_BYTES : Integer.MAX_VALUE);
            if (request.remaining() > 5
                    && request.get(request.position()) == 'H'
                    && request.get(request.position() + 1) == 'E') {
                parser.expectHead();
            }
        }

        /** The client gives up: its connection ends, and nothing is told. */
        public void cancel() {
            if (hasEnded) {
                return;
            }
            hasEnded = true;
            if (connection != null) {
                connection.close();
                openCount--;
            } else if (connecting != null) {
                connecting.cancel();
                openCount--;
            } else {
                waiting.remove(this);
            }
            next();
        }

        private void begin() {
            Connection reusable = takeIdle();
            if (reusable != null) {
                isReused = true;
                connection = reusable;
                reusable.setHandler(this);
                reusable.write(request.duplicate(), () -> {});
            } else {
                openCount++;
                openedCount++;
                connect();
            }
        }

        private void connect() {
            isReused = false;
            InetAddress from = sources.isEmpty() ? null : sources.get((int) (openedCount % sources.size()));
            connecting = Connection.open(
                    loop,
                    from,
                    to,
                    this,
                    up -> {
                        connecting = null;
                        connection = up;
                        up.write(request.duplicate(), () -> {});
                    },
                    e -> end(null));
        }

        @Override
        public void received(ByteBuffer bytes) {
            hasReceived = true;
            try {
                boolean isComplete = parser.feed(bytes);
                if (handler.streamsBody()) {
                    deliverPart(parser.takeBody());
                } else if (!keepsBodies) {
                    parser.takeBody();
                }
                if (isComplete) {
                    end(parser);
                }
            } catch (BadMessageException e) {
                end(null);
            }
        }

        private void deliverPart(byte[] part) {
            if (part.length > 0 && !hasEnded) {
                handler.onBodyPart(parser, part);
            }
        }

        @Override
        public void closed(IOException why) {
            if (isReused && !hasReceived && !hasEnded) {
                connection = null;
                openedCount++;
                connect();
            } else {
                end(why == null && parser.endOfInput() ? parser : null);
            }
        }

        private void end(ResponseParser answer) {
            if (hasEnded) {
                return;
            }
            hasEnded = true;
            if (answer != null && answer.keepAlive() && connection != null && !connection.isClosed()) {
                putBack(connection);
            } else {
                if (connection != null) {
                    connection.close();
                }
                openCount--;
            }
            handler.answered(answer, answer == null ? null : answer.takeBody());
            next();
        }
    }

    private final EventLoop loop;
    private final InetSocketAddress to;
    private final int maxConnections;
    private final List<InetAddress> sources;
    private final Deque<Connection> idle = new ArrayDeque<>();
    private final Deque<Call> waiting = new ArrayDeque<>();
    private boolean keepsBodies = true;
    private int openCount;
    private long openedCount;

    public HttpClient(EventLoop loop, InetSocketAddress to, int maxConnections) {
        this(loop, to, maxConnections, List.of());
    }

    /** {@code sources}: addresses to connect from, in turn; where empty, the system chooses. */
    public HttpClient(EventLoop loop, InetSocketAddress to, int maxConnections, List<InetAddress> sources) {
        this.loop = loop;
        this.to = to;
        this.maxConnections = maxConnections;
        this.sources = sources;
    }

    /** From here on answers' bodies may be of any length, and are forgotten as they come. */
    public HttpClient forgetBodies() {
        keepsBodies = false;
        return this;
    }

    /** On the loop's thread. The request's bytes are not changed. */
    public Call call(ByteBuffer request, ResponseHandler handler) {
        Call call = new Call(request, handler);
        if (idle.isEmpty() && openCount >= maxConnections) {
            waiting.addLast(call);
        } else {
            call.begin();
        }
        return call;
    }

    /** Connections opened so far. */
    public long opened() {
        return openedCount;
    }

    /** Calls that wait for a connection. */
    public int waiting() {
        return waiting.size();
    }

    public void close() {
        idle.forEach(Connection::close);
        idle.clear();
    }

    private Connection takeIdle() {
        while (!idle.isEmpty()) {
            Connection c = idle.removeLast();
            if (!c.isClosed()) {
                return c;
            }
            openCount--;
        }
        return null;
    }

    private void putBack(Connection connection) {
        idle.addLast(connection);
        connection.setHandler(new Connection.Handler() {
            @Override
            public void received(ByteBuffer bytes) {
                bytes.position(bytes.limit());
                drop();
                connection.close();
            }

            @Override
            public void closed(IOException why) {
                drop();
            }

            private void drop() {
                if (idle.remove(connection)) {
                    openCount--;
                }
            }
        });
    }

    private void next() {
        if (!waiting.isEmpty() && (!idle.isEmpty() || openCount < maxConnections)) {
            waiting.removeFirst().begin();
        }
    }
}
