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
 * An HTTP/1.1 client for one address. It reuses idle connections, opens new ones up to a limit when all are busy, and
 * queues further calls. If a reused connection closes before the first byte of a response, the call is retried once on
 * a new connection. Used only on the loop's thread.
 */
public final class HttpClient {
    /** A complete response; {@code body} is empty for a {@link StreamHandler}. */
    public record Response(ResponseParser head, byte[] body) {}

    /** Receives the result of a call. Called once, on the loop's thread; never after {@link Call#cancel}. */
    public interface ResponseHandler {
        /** {@code response} is empty if the connection failed, or closed before the end of the response. */
        void onEnd(Optional<Response> response);
    }

    /** Receives the body of a response in parts. */
    public interface StreamHandler extends ResponseHandler {
        /** Receives the next bytes of the body; {@code bytes} is never empty. */
        void onBodyPart(ResponseParser head, byte[] bytes);
    }

    private enum State {
        /** In the client's queue. */
        QUEUED,
        /** A connection is being established. */
        CONNECTING,
        /** The request has been sent; the response is pending. */
        CONNECTED,
        /** The handler has been called, or the call has been cancelled. */
        ENDED
    }

    /** A request and its response. */
    public final class Call implements Connection.Handler {
        private final ByteBuffer request;
        private final ResponseHandler handler;
        private final ResponseParser parser;
        /** The bytes that the system has not accepted on the current connection. */
        private ByteBuffer unsent;

        private State state = State.QUEUED;
        private Connection connection;
        private Connection.Connecting connecting;
        private boolean isReused;
        private boolean hasReceived;

        private Call(ByteBuffer request, ResponseHandler handler) {
            this.request = request;
            this.unsent = request.duplicate();
            this.handler = handler;
            this.parser = new ResponseParser(storesBodies ? MessageParser.MAX_BODY_BYTES : Integer.MAX_VALUE);
            if (isHeadRequest(request)) {
                parser.expectHead();
            }
        }

        /** Closes the call's connection without calling the handler. Does nothing if the call has ended. */
        public void cancel() {
            State last = state;
            if (last == State.ENDED) {
                return;
            }
            moveTo(State.ENDED); // before the close, which may call this handler
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
            startNext();
        }

        private void start() {
            Optional<Connection> idleConnection = takeIdle();
            if (idleConnection.isPresent()) {
                isReused = true;
                onConnected(idleConnection.get());
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
                        onConnected(opened);
                        write();
                    },
                    failure -> end(Optional.empty()));
        }

        private void onConnected(Connection usable) {
            moveTo(State.CONNECTED);
            connection = usable;
        }

        private void write() {
            unsent = request.duplicate();
            connection.write(unsent, () -> {});
        }

        @Override
        public void received(ByteBuffer bytes) {
            hasReceived = true;
            try {
                boolean isComplete = parser.feed(bytes);
                if (handler instanceof StreamHandler streamHandler) {
                    deliverPart(streamHandler, parser.takeBody());
                } else if (!storesBodies) {
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
                boolean isComplete = parser.completesAtEnd(cause, !unsent.hasRemaining());
                end(isComplete ? Optional.of(parser) : Optional.empty());
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
            startNext();
        }

        private void release(boolean isReusable) {
            if (isReusable && !connection.isClosed()) {
                addIdle(connection);
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
    private boolean storesBodies = true;
    private int openCount;
    private long openedCount;

    /** Creates a client whose source address is chosen by the system. */
    public HttpClient(EventLoop loop, InetSocketAddress address, int maxConnections) {
        this(loop, address, maxConnections, List.of());
    }

    /** {@code sources} contains the source addresses, which are used in turn; if empty, the system chooses. */
    public HttpClient(EventLoop loop, InetSocketAddress address, int maxConnections, List<InetAddress> sources) {
        this.loop = loop;
        this.address = address;
        this.maxConnections = maxConnections;
        this.sources = sources;
    }

    /** Discards the bodies of all later responses, which may then be of any length. */
    public HttpClient discardBodies() {
        storesBodies = false;
        return this;
    }

    /** Sends or queues a request. Does not change the buffer's position; the bytes must not be modified. */
    public Call call(ByteBuffer request, ResponseHandler handler) {
        Call call = new Call(request, handler);
        if (idle.isEmpty() && openCount >= maxConnections) {
            queue.addLast(call);
        } else {
            call.start();
        }
        return call;
    }

    /** The number of connections opened so far. */
    public long openedConnections() {
        return openedCount;
    }

    /** The number of calls that wait for a connection. */
    public int queuedCalls() {
        return queue.size();
    }

    /** Closes the idle connections; calls in progress continue. */
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

    private void addIdle(Connection connection) {
        idle.addLast(connection);
        connection.setHandler(new Connection.Handler() {
            @Override
            public void received(ByteBuffer bytes) {
                bytes.position(bytes.limit());
                removeIdle();
                connection.close();
            }

            @Override
            public void closed(IOException cause) {
                removeIdle();
            }

            private void removeIdle() {
                if (idle.remove(connection)) {
                    openCount--;
                }
            }
        });
    }

    private void startNext() {
        if (!queue.isEmpty() && (!idle.isEmpty() || openCount < maxConnections)) {
            queue.removeFirst().start();
        }
    }
}
