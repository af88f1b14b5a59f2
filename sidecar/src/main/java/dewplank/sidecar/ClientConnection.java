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
 * <p>The listener creates it per accepted connection. All of it runs on the event loop's thread.
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

    /** @param isReady whether {@code /_health} answers that clients may come */
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
        } catch (RuntimeException e) { // a defect: the client still gets its one response
            failInternally(e);
        }
    }

    /** A defect was caught: the client still gets its one response. */
    private void failInternally(RuntimeException e) {
        LOG.log(System.Logger.Level.ERROR, "request handling failed", e);
        reject(new BadMessageException(500, "internal error"));
    }

    /** A disconnect could not be seen any more, and a request must not be forwarded without its client. */
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
        // The client's end may lie right behind its request. The next read comes after this, and what it finds at once
        // is queued by the time the first of these tasks runs: so the second one is behind it.
        loop.execute(() -> loop.execute(() -> forward(decoded)));
    }

    private void respondHealth(boolean ready) {
        respond(
                MessageWriter.response(ready ? 200 : 503),
                (ready ? "ok\n" : "not ready: starting, or no servers known\n").getBytes(StandardCharsets.US_ASCII));
    }

    /** Hands a complete request to the host, unless its client has disconnected meanwhile. */
    @SuppressWarnings("ReferenceEquality") // this request, not an equal one that came later
    private void forward(ClientRequest decoded) {
        if (queued != decoded) {
            return;
        }
        queued = null;
        if (host.isIdInUse(decoded.forwarded().id())) { // a server could not tell it from the other one's retry
            reject(new BadMessageException(409, "X-Trace-Id is that of an open request"));
            return;
        }
        try {
            request = host.accept(decoded, this);
        } catch (RuntimeException e) { // a defect: the client still gets its one response
            failInternally(e);
        }
    }

    /** What follows a malformed request can't be told apart from it, so the connection ends. */
    private void reject(BadMessageException e) {
        abandonRequest();
        busy = true;
        keepAlive = false;
        respond(MessageWriter.response(e.status()), (e.getMessage() + "\n").getBytes(StandardCharsets.UTF_8));
    }

    @Override
    public void closed(IOException why) {
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
        boolean last = !keepAlive || !clients.mayKeepAlive();
        connection.write(head.header("Connection", last ? "close" : null).body(body), () -> {});
        request = null;
        parser.reset();
        if (last) {
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

    /** Whether no byte has come since the connection was accepted. */
    boolean isSilent() {
        return !hasReceived;
    }

    /** Whether it is between requests, after at least one response. */
    boolean isIdle() {
        return hasResponded && !parser.hasBegun();
    }

    /**
     * Loop time since which a complete request is due: its first byte, or the accepting of a connection that has had no
     * response yet. Further bytes do not put it off.
     */
    double waitingSinceMs() {
        return waitingSinceMs;
    }

    /** No request became complete in time. One that has begun gets an error response. */
    void timeOut() {
        if (parser.hasBegun()) {
            reject(new BadMessageException(408, "the request did not become whole in time"));
        } else {
            clients.remove(this);
            connection.close();
        }
    }

    /**
     * Closes the connection if no request is open on it, nor half read; a half-read one too if {@code includeUnread}.
     */
    void closeIfIdle(boolean includeUnread) {
        if (!busy && (includeUnread || !parser.hasBegun())) {
            clients.remove(this);
            connection.closeGracefully();
        }
    }
}
