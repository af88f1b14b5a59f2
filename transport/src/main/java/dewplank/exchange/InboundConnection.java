package dewplank.exchange;

import dewplank.http.BadMessageException;
import dewplank.http.Headers;
import dewplank.http.MessageParser;
import dewplank.http.MessageWriter;
import dewplank.http.RequestParser;
import dewplank.net.Connection;
import dewplank.net.EventLoop;
import dewplank.net.Listener;
import dewplank.net.ReceiveBudget;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.List;

/**
 * A client's HTTP connection: receives requests, handles them one at a time, and sends each response complete or as a
 * stream.
 *
 * <p>Responds to malformed requests itself and then closes the connection; if a handler throws an exception, logs it
 * and responds with 500. Used on the loop's thread only.
 */
public final class InboundConnection implements Listener.Accepted, Responder {
    private static final System.Logger LOG = System.getLogger(InboundConnection.class.getName());
    private static final byte[] NO_BODY = new byte[0];
    private static final int SERVICE_UNAVAILABLE = 503;
    /** Memory of a request in progress in addition to its bytes: its state, its attempts and their timers. */
    private static final int REQUEST_STATE_BYTES = 2 * 1024;
    /** When a client should retry that was rejected because too many long requests arrive at once. */
    private static final String OVERLOAD_RETRY_AFTER_S = "0.5";

    /** Serves the requests of a listener. Called on the loop's thread. */
    public interface Service {
        /** Handles a request; the response may be sent later. */
        void handle(Request request, InboundConnection connection);

        /** The client disconnected or sent malformed bytes: the request in progress no longer needs a response. */
        void clientDisconnected(InboundConnection connection);

        /** The connection has closed or takes no further requests. */
        default void connectionClosed(InboundConnection connection) {}

        /** Whether the process is draining, so that each connection closes after its next response. */
        default boolean isClosing() {
            return false;
        }

        /** Maximum size of a request's body in bytes. */
        default int maxBodyBytes() {
            return 64 * 1024;
        }

        /** Maximum total size of a request's start line and fields in bytes. */
        default int maxHeadBytes() {
            return MessageParser.MAX_HEAD_BYTES;
        }
    }

    /** A complete request. */
    public record Request(String method, String target, Headers headers, byte[] body) {}

    private final EventLoop loop;
    private final Service service;
    private final InboundConnections connections;
    private final RequestParser parser;
    private final ReceiveBudget.Account held;
    private Connection connection;
    private ResponseWriter responses;
    private boolean isBusy;
    private Request pendingRequest; // complete, not yet dispatched to the service
    private boolean dispatched;
    private boolean keepAlive;
    private boolean hasResponded;
    private double waitingSince;
    private double lastActiveAt;

    /** Creates the handler of a connection that is never closed to make room for another. */
    public InboundConnection(EventLoop loop, Service service) {
        this(loop, service, new InboundConnections());
    }

    InboundConnection(EventLoop loop, Service service, InboundConnections connections) {
        this.loop = loop;
        this.service = service;
        this.connections = connections;
        this.parser = new RequestParser(service.maxBodyBytes());
        this.held = loop.receiveBudget().open(ReceiveBudget.Origin.CLIENT, this::rejectForOverload);
    }

    @Override
    public void accepted(Connection accepted) {
        connection = accepted;
        responses = new ResponseWriter(accepted);
        waitingSince = loop.now();
        lastActiveAt = waitingSince;
    }

    @Override
    public void received(ByteBuffer bytes) {
        if (!isBusy && !parser.hasBegun()) {
            waitingSince = loop.now();
            parser.maxBodyBytes(service.maxBodyBytes());
            parser.maxHeadBytes(service.maxHeadBytes());
        }
        try {
            while (!isBusy && !connection.isClosed() && parser.feed(bytes)) {
                takeRequest();
            }
            if (!isBusy && !connection.isClosed()) {
                holdPartialRequest();
            }
        } catch (BadMessageException e) {
            reject(e);
        }
    }

    private void holdPartialRequest() {
        if (parser.hasBegun()) { // not after an empty line between requests
            lastActiveAt = loop.now();
            connections.recordIncomplete(this);
        }
        if (!held.hold(parser.heldBytes())) {
            rejectForOverload();
        } else if (parser.waitsForContinue()) {
            connection.write(MessageWriter.response(100).noBody(), () -> {});
        }
    }

    /** Rejects a request that has not been dispatched, because requests hold too much memory. */
    private void rejectForOverload() {
        keepAlive = false;
        isBusy = true;
        respond(
                SERVICE_UNAVAILABLE,
                List.of(new Headers.Field("Retry-After", OVERLOAD_RETRY_AFTER_S)),
                "too many long requests at once\n".getBytes(StandardCharsets.UTF_8));
    }

    private void takeRequest() {
        isBusy = true;
        connections.recordBusy(this);
        keepAlive = parser.keepAlive();
        responses.expectResponseTo(parser.method());
        if (!held.holdInUse(bytesInUse())) {
            rejectForOverload();
            return;
        }
        Request request = new Request(parser.method(), parser.target(), parser.headers(), parser.takeBody());
        pendingRequest = request;
        // The client may have closed the connection directly after its request. The next read follows this method, and
        // its result, if immediate, is queued before the first of these tasks runs. The second task runs after it.
        loop.execute(() -> loop.execute(() -> dispatch(request)));
    }

    /** Memory of the complete request, of the values that are parsed from its head, and of the message sent on. */
    private long bytesInUse() {
        int headBytes = parser.headers().heldBytes() + parser.target().length();
        int bodyBytes = parser.bodyBytes();
        return REQUEST_STATE_BYTES + 2 * headBytes + bodyBytes + MessageWriter.allocatedBytes(headBytes, bodyBytes);
    }

    @SuppressWarnings("ReferenceEquality") // must be the same request, not an equal later one
    private void dispatch(Request request) {
        if (connection.isClosed() || pendingRequest != request) { // disconnected, or already rejected
            return;
        }
        pendingRequest = null;
        dispatched = true;
        try {
            service.handle(request, this);
        } catch (RuntimeException | StackOverflowError e) { // the latter for input that is nested too deeply
            LOG.log(System.Logger.Level.ERROR, "a request failed", e);
            reject(new BadMessageException(500, "internal error"));
        }
    }

    @Override
    public void readAheadExceeded() {
        reject(new BadMessageException(400, "too much was sent ahead of an answer"));
    }

    /** Responds to a malformed request and closes the connection, as the start of the next request is unknown. */
    private void reject(BadMessageException e) {
        dropRequest();
        keepAlive = false;
        if (responses.isStreaming()) {
            abort();
            return;
        }
        isBusy = true;
        respond(e.status(), List.of(), (e.getMessage() + "\n").getBytes(StandardCharsets.UTF_8));
    }

    private void dropRequest() {
        pendingRequest = null;
        if (dispatched) {
            dispatched = false;
            service.clientDisconnected(this);
        }
    }

    @Override
    public void closed(IOException cause) {
        held.release();
        dropRequest();
        onConnectionClosed();
    }

    /** Sends the response to the request in progress; no effect if the connection is closed. */
    @Override
    public void respond(int status, List<Headers.Field> headers, byte[] body) {
        if (connection.isClosed()) {
            return;
        }
        boolean isLast = isLastResponse();
        responses.write(status, headers, body, isLast);
        onResponseEnd(isLast);
    }

    /** Sends a response without fields and body. */
    public void respond(int status) {
        respond(status, List.of(), NO_BODY);
    }

    /** Starts a response whose body follows in parts, as chunks. */
    public void startResponse(int status, List<Headers.Field> headers) {
        startResponse(status, headers, null);
    }

    /**
     * Starts a response whose body follows in parts.
     *
     * @param contentLength the value of the field, if the parts are known to have this length in total; null to send
     *     them as chunks
     */
    public void startResponse(int status, List<Headers.Field> headers, String contentLength) {
        if (connection.isClosed()) {
            return;
        }
        keepAlive = !isLastResponse();
        responses.startStream(status, headers, contentLength, !keepAlive);
    }

    /** Writes the next part of the body. */
    public void writePart(byte[] bytes) {
        writePart(bytes, () -> {});
    }

    /** Writes the next part of the body; {@code onWritten} runs once the system has accepted it. */
    public void writePart(byte[] bytes, Runnable onWritten) {
        if (!connection.isClosed()) {
            responses.writePart(bytes, onWritten);
        }
    }

    /** Ends the body of a streamed response. */
    public void endResponse() {
        if (!connection.isClosed()) {
            responses.endStream();
            onResponseEnd(!keepAlive);
        }
    }

    /** Closes the connection during a response, so that the client detects that it is incomplete. */
    public void abort() {
        dispatched = false;
        held.release();
        connection.close();
        onConnectionClosed();
    }

    private void onConnectionClosed() {
        connections.remove(this);
        service.connectionClosed(this);
    }

    private boolean isLastResponse() {
        return !keepAlive || service.isClosing();
    }

    private void onResponseEnd(boolean isLast) {
        dispatched = false;
        responses.reset();
        hasResponded = true;
        waitingSince = loop.now();
        lastActiveAt = waitingSince;
        parser.reset();
        held.release();
        if (isLast) {
            connection.closeGracefully();
            onConnectionClosed();
        } else {
            isBusy = false;
            connections.recordIdle(this);
            connection.resume();
        }
    }

    /** Whether the connection is closed. */
    public boolean isClosed() {
        return connection.isClosed();
    }

    /** Whether a request is in progress. */
    public boolean isBusy() {
        return isBusy;
    }

    /** Whether part of a request has been received, but not all of it. */
    public boolean hasPartialRequest() {
        return !isBusy && parser.hasBegun();
    }

    /** Whether the head of a request has been received, but not its complete body. */
    public boolean hasPartialRequestWithHead() {
        return hasPartialRequest() && parser.isHeadRead();
    }

    /** Whether at least one response has been sent. */
    public boolean hasResponded() {
        return hasResponded;
    }

    /**
     * Time from which the wait for a complete request is measured: the receipt of its first byte; until then, the last
     * response or the accept of the connection.
     */
    public double waitingSince() {
        return waitingSince;
    }

    /** Time since which the connection waits: {@link #waitingSince}, or when its client last read bytes, if later. */
    public double idleSince() {
        return parser.hasBegun() ? waitingSince : Math.max(waitingSince, connection.lastWriteProgressAt());
    }

    /** Times the connection out if it has waited for a complete request for more than {@code ms}. */
    public void timeOutAfter(double ms) {
        if (!isBusy && loop.now() - idleSince() > ms) {
            timeOut();
        }
    }

    /** Times the connection out; responds with 408 if a request is partly received. */
    public void timeOut() {
        if (parser.hasBegun()) {
            reject(new BadMessageException(408, "the request did not become whole in time"));
        } else {
            closeWithoutResponse();
        }
    }

    /** Closes the connection without a response; no request may be in progress. */
    void closeWithoutResponse() {
        held.release();
        connection.close();
        onConnectionClosed();
    }

    /** When the connection was accepted, last received bytes of an incomplete request, or responded. */
    double lastActiveAt() {
        return lastActiveAt;
    }

    /** Closes the connection if no request is in progress or, unless {@code includingPartial}, partly received. */
    public void closeIfIdle(boolean includingPartial) {
        if (!isBusy && (includingPartial || !parser.hasBegun())) {
            isBusy = true;
            held.release();
            connection.closeGracefully();
            onConnectionClosed();
        }
    }
}
