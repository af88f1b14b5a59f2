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
import java.util.Optional;

/**
 * A client of one HTTP/1.1 address: keeps idle connections, opens more up to a bound when all are busy, and queues the
 * calls beyond. A call on a reused connection that closes before any byte of the response is retried once, on a new
 * connection. On the loop's thread only.
 */
public final class HttpClient {
    /** A complete response; {@code body} is empty for a {@link StreamHandler}. */
    public record Response(ResponseParser head, byte[] body) {}

    /** Takes the end of a call. Called once, on the loop's thread; never after {@link Call#cancel}. */
    public interface ResponseHandler {
        /** {@code response}: empty where no connection was established, or it closed before the response's end. */
        void onEnd(Optional<Response> response);
    }

    /** Takes a response's body as its bytes arrive. */
    public interface StreamHandler extends ResponseHandler {
        /** The next bytes of the body; never empty. */
        void onBodyPart(ResponseParser head, byte[] bytes);
    }

    private enum State {
        /** In the client's queue. */
        QUEUED,
        /** A connection is being established. */
        CONNECTING,
        /** The request is written; the response is awaited. */
        CONNECTED,
        /** The handler was called, or the call cancelled. */
        ENDED
    }

    /** One request and its response. */
    public final class Call implements Connection.Handler {
        private final ByteBuffer request;
        private final ResponseHandler handler;
        private final ResponseParser parser;
        private State state = State.QUEUED;
        private Connection connection;
        private Connection.Connecting connecting;
        private boolean isReused;
        private boolean hasReceived;

        private Call(ByteBuffer request, ResponseHandler handler) {
            this.request = request;
            this.handler = handler;
            this.parser = new ResponseParser(keepsBodies ? MessageParser.MAX_BODY_BYTES : Integer.MAX_VALUE);
            if (isHeadRequest(request)) {
                parser.expectHead();
            }
        }

        /** Gives the call up: its connection closes, and the handler is not called. Nothing after the call's end. */
        public void cancel() {
            State last = state;
            if (last == State.ENDED) {
                return;
            }
            moveTo(State.ENDED); // first, as a close may call back
            if (last == State.QUEUED) {
                queue.remove(this);
            } else {
                if (last == State.CONNECTED) {
                    connection.close();
                } else {
                    connecting.cancel();
                }
                openCount--;
            }
            beginNext();
        }

        private void begin() {
            Optional<Connection> idleConnection = takeIdle();
            if (idleConnection.isPresent()) {
                isReused = true;
                established(idleConnection.get());
                connection.setHandler(this);
                write();
            } else {
                openCount++;
                openedCount++;
                connect();
            }
        }

        private void connect() {
            moveTo(State.CONNECTING);
            isReused = false;
            InetAddress source = sources.isEmpty() ? null : sources.get((int) (openedCount % sources.size()));
            connecting = Connection.open(
                    loop,
                    source,
                    address,
                    this,
                    opened -> {
                        established(opened);
                        write();
                    },
                    failure -> end(Optional.empty()));
        }

        private void established(Connection usable) {
            moveTo(State.CONNECTED);
            connection = usable;
        }

        private void write() {
            connection.write(request.duplicate(), () -> {});
        }

        @Override
        public void received(ByteBuffer bytes) {
            hasReceived = true;
            try {
                boolean isComplete = parser.feed(bytes);
                if (handler instanceof StreamHandler streamHandler) {
                    deliverPart(streamHandler, parser.takeBody());
                } else if (!keepsBodies) {
                    parser.takeBody();
                }
                if (isComplete) {
                    end(Optional.of(parser));
                }
            } catch (BadMessageException e) {
                end(Optional.empty());
            }
        }

        private void deliverPart(StreamHandler streamHandler, byte[] part) {
            if (part.length > 0 && state != State.ENDED) {
                streamHandler.onBodyPart(parser, part);
            }
        }

        @Override
        public void closed(IOException cause) {
            if (isReused && !hasReceived && state != State.ENDED) {
                openedCount++;
                connect();
            } else {
                end(cause == null && parser.endOfInput() ? Optional.of(parser) : Optional.empty());
            }
        }

        private void end(Optional<ResponseParser> response) {
            State last = state;
            if (last == State.ENDED) {
                return;
            }
            moveTo(State.ENDED);
            if (last == State.CONNECTED) {
                release(response.isPresent() && response.get().keepAlive());
            } else {
                openCount--;
            }
            handler.onEnd(response.map(head -> new Response(head, head.takeBody())));
            beginNext();
        }

        private void release(boolean isReusable) {
            if (isReusable && !connection.isClosed()) {
                putBack(connection);
            } else {
                connection.close();
                openCount--;
            }
        }

        private void moveTo(State next) {
            boolean isRetry = state == State.CONNECTED && next == State.CONNECTING && isReused;
            if (next.ordinal() <= state.ordinal() && !isRetry) {
                throw new IllegalStateException("a call can't change from " + state + " to " + next);
            }
            state = next;
        }
    }

    private final EventLoop loop;
    private final InetSocketAddress address;
    private final int maxConnections;
    private final List<InetAddress> sources;
    private final Deque<Connection> idle = new ArrayDeque<>();
    private final Deque<Call> queue = new ArrayDeque<>();
    private boolean keepsBodies = true;
    private int openCount;
    private long openedCount;

    /** A client whose connections come from an address that the system chooses. */
    public HttpClient(EventLoop loop, InetSocketAddress address, int maxConnections) {
        this(loop, address, maxConnections, List.of());
    }

    /** {@code sources}: addresses to connect from, in turn; where empty, the system chooses. */
    public HttpClient(EventLoop loop, InetSocketAddress address, int maxConnections, List<InetAddress> sources) {
        this.loop = loop;
        this.address = address;
        this.maxConnections = maxConnections;
        this.sources = sources;
    }

    /** Drops the bodies of all later responses as they arrive, which may then be of any length. */
    public HttpClient forgetBodies() {
        keepsBodies = false;
        return this;
    }

    /** Sends a request, or queues it. The buffer's position is left as it is; its bytes must not change. */
    public Call call(ByteBuffer request, ResponseHandler handler) {
        Call call = new Call(request, handler);
        if (idle.isEmpty() && openCount >= maxConnections) {
            queue.addLast(call);
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
        return queue.size();
    }

    /** Closes the idle connections; calls in progress go on. */
    public void close() {
        idle.forEach(Connection::close);
        idle.clear();
    }

    private static boolean isHeadRequest(ByteBuffer request) {
        return request.remaining() > 5
                && request.get(request.position()) == 'H'
                && request.get(request.position() + 1) == 'E';
    }

    private Optional<Connection> takeIdle() {
        while (!idle.isEmpty()) {
            Connection connection = idle.removeLast();
            if (!connection.isClosed()) {
                return Optional.of(connection);
            }
            openCount--;
        }
        return Optional.empty();
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
            public void closed(IOException cause) {
                drop();
            }

            private void drop() {
                if (idle.remove(connection)) {
                    openCount--;
                }
            }
        });
    }

    private void beginNext() {
        if (!queue.isEmpty() && (!idle.isEmpty() || openCount < maxConnections)) {
            queue.removeFirst().begin();
        }
    }
}
