package dewplank.sidecar;

import dewplank.http.BadMessageException;
import dewplank.http.Headers;
import dewplank.http.MessageWriter;
import dewplank.http.RequestParser;
import dewplank.net.Connection;
import dewplank.net.EventLoop;
import dewplank.net.Listener;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Locale;
import java.util.function.BooleanSupplier;

/**
 * A client's HTTP connection: reads requests, one at a time, and writes their final responses.
 *
 * <p>The listener creates one per accepted connection. All methods run on the event loop's thread.
 */
final class ClientConnection implements Listener.Accepted, PendingRequest.ResponseSink {
    private static final System.Logger LOG = System.getLogger(ClientConnection.class.getName());
    private static final byte[] NO_BODY = new byte[0];

    private final EventLoop loop;
    private final BalancerHost host;
    private final RequestDecoder decoder;
    private final ClientConnections clients;
    private final BooleanSupplier isReady;
    private final RequestParser parser = new RequestParser();
    private Connection connection;
    private ClientRequest queued;
    private PendingRequest request;
    private boolean busy;
    private boolean keepAlive;
    private boolean hasReceived;
    private boolean hasResponded;
    private double waitingSinceMs;

    /** @param isReady whether {@code /_health} reports that the sidecar is ready for clients */
    ClientConnection(
            EventLoop loop,
            BalancerHost host,
            RequestDecoder decoder,
            ClientConnections clients,
            BooleanSupplier isReady) {
        this.loop = loop;
        this.host = host;
        this.decoder = decoder;
        this.clients = clients;
        this.isReady = isReady;
    }

    @Override
    public void accepted(Connection accepted) {
        connection = accepted;
        waitingSinceMs = loop.now();
        clients.add(this);
    }

    @Override
    public void received(ByteBuffer bytes) {
        hasReceived = true;
        if (!busy && hasResponded && !parser.hasBegun()) {
            waitingSinceMs = loop.now();
        }
        try {
            while (!busy && !connection.isClosed() && parser.feed(bytes)) {
                busy = true;
                keepAlive = parser.keepAlive();
                handleRequest();
            }
            if (!busy && parser.waitsForContinue()) {
                connection.write(MessageWriter.response(100).noBody(), () -> {});
            }
        } catch (BadMessageException e) {
            reject(e);
        } catch (RuntimeException e) { // a bug: the client still gets exactly one response
            failInternally(e);
        }
    }

    /** Responds with status 500 after an unexpected exception, so that the client gets exactly one response. */
    private void failInternally(RuntimeException e) {
        LOG.log(System.Logger.Level.ERROR, "request handling failed", e);
        reject(new BadMessageException(500, "internal error"));
    }

    /**
     * Rejects the open request: the sidecar could not detect a disconnect any more, and a request must not be forwarded
     * after its client has disconnected.
     */
    @Override
    public void readAheadExceeded() {
        reject(new BadMessageException(400, "too much was sent ahead of an answer"));
    }

    private void handleRequest() throws BadMessageException {
        if (parser.target().equals("/_health")) {
            respondHealth(isReady.getAsBoolean());
            return;
        }
        ClientRequest decoded = decoder.decode(parser);
        queued = decoded;
        // The client may have closed the connection directly after its request. The next read follows this method, and
        // its result, if immediate, is queued before the first of these tasks runs. The second task runs after it.
        loop.execute(() -> loop.execute(() -> forward(decoded)));
    }

    private void respondHealth(boolean ready) {
        respond(
                MessageWriter.response(ready ? 200 : 503),
                (ready ? "ok\n" : "not ready: starting, or no servers known\n").getBytes(StandardCharsets.US_ASCII));
    }

    /** Passes a complete request to the host, unless its client has disconnected in the meantime. */
    @SuppressWarnings("ReferenceEquality") // this request, not an equal one received later
    private void forward(ClientRequest decoded) {
        if (queued != decoded) {
            return;
        }
        queued = null;
        if (host.isTraceIdInUse(
                decoded.forwarded().traceId())) { // a server could treat it as a retry of the open request
            reject(new BadMessageException(409, "X-Trace-Id is that of an open request"));
            return;
        }
        try {
            request = host.accept(decoded, this);
        } catch (RuntimeException e) { // a bug: the client still gets exactly one response
            failInternally(e);
        }
    }

    /**
     * Responds with an error and closes the connection, because the start of the next request cannot be determined
     * after a malformed one.
     */
    private void reject(BadMessageException e) {
        abandonRequest();
        busy = true;
        keepAlive = false;
        respond(MessageWriter.response(e.status()), (e.getMessage() + "\n").getBytes(StandardCharsets.UTF_8));
    }

    @Override
    public void closed(IOException reason) {
        clients.remove(this);
        abandonRequest();
    }

    private void abandonRequest() {
        queued = null;
        if (request != null) {
            host.abandon(request);
            request = null;
        }
    }

    @Override
    public void respondServed(byte[] body, List<Headers.Field> headers) {
        respond(MessageWriter.response(200).headers(headers), body);
    }

    @Override
    public void respondRejected(double retryAfterMs) {
        String seconds = retryAfterMs > 0 ? String.format(Locale.ROOT, "%.3f", retryAfterMs / 1000) : null;
        respond(MessageWriter.response(503).header("Retry-After", seconds), NO_BODY);
    }

    @Override
    public void respondFailed() {
        respond(MessageWriter.response(502), NO_BODY);
    }

    private void respond(MessageWriter head, byte[] body) {
        waitingSinceMs = loop.now();
        hasResponded = true;
        boolean isLast = !keepAlive || !clients.mayKeepAlive();
        connection.write(head.header("Connection", isLast ? "close" : null).body(body), () -> {});
        request = null;
        parser.reset();
        if (isLast) {
            clients.remove(this);
            connection.closeGracefully();
        } else {
            busy = false;
            connection.resume();
        }
    }

    /** Whether a request has been read completely and has no response yet. */
    boolean isBusy() {
        return busy;
    }

    /** Whether no byte has been received since the connection was accepted. */
    boolean hasReceivedNothing() {
        return !hasReceived;
    }

    /** Whether the connection is between requests, after at least one response. */
    boolean isIdle() {
        return hasResponded && !parser.hasBegun();
    }

    /**
     * Returns the event loop time from which the wait for a complete request is measured: the acceptance of the
     * connection; after the first response, the last response or the first byte of the next request. Further bytes do
     * not restart the wait.
     */
    double waitingSinceMs() {
        return waitingSinceMs;
    }

    /** Closes the connection because no complete request was received in time. A partial request gets an error. */
    void timeOut() {
        if (parser.hasBegun()) {
            reject(new BadMessageException(408, "the request did not become whole in time"));
        } else {
            clients.remove(this);
            connection.close();
        }
    }

    /**
     * Closes the connection if it has neither an open request nor a partially read one. With
     * {@code includePartiallyRead}, a partially read request does not prevent this.
     */
    void closeIfIdle(boolean includePartiallyRead) {
        if (!busy && (includePartiallyRead || !parser.hasBegun())) {
            clients.remove(this);
            connection.closeGracefully();
        }
    }
}
