package dewplank.sidecar;

import dewplank.balancer.Settings.Idempotency;
import dewplank.http.BadMessageException;
import dewplank.http.Headers;
import dewplank.http.MessageWriter;
import dewplank.http.RequestParser;
import dewplank.net.Connection;
import dewplank.net.Listener;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Locale;
import java.util.regex.Pattern;

/** A client's HTTP connection: requests in, one at a time, and their final answers out. */
final class ClientConnection implements Listener.Accepted, PendingRequest.ResponseSink {
    private static final System.Logger LOG = System.getLogger(ClientConnection.class.getName());
    private static final byte[] NO_BODY = new byte[0];
    private static final Pattern MILLISECONDS = Pattern.compile("[0-9]{1,9}");
    private static final long MAX_TIME_BUDGET_MS = 3_600_000;
    private static final Pattern TRACE_ID = Pattern.compile("[!-+\\--~]{1,128}"); // visible, no comma

    private final BalancerHost host;
    private final Sidecar sidecar;
    private final RequestParser parser = new RequestParser();
    private Connection connection;
    private PendingRequest.ForwardedRequest queued;
    private PendingRequest request;
    private boolean busy;
    private boolean keepAlive;
    private boolean hasReceived;
    private boolean hasResponded;
    private double waitingSinceMs;

    ClientConnection(BalancerHost host, Sidecar sidecar) {
        this.host = host;
        this.sidecar = sidecar;
    }

    @Override
    public void accepted(Connection accepted) {
        connection = accepted;
        waitingSinceMs = sidecar.loop().now();
        sidecar.add(this);
    }

    @Override
    public void received(ByteBuffer bytes) {
        hasReceived = true;
        if (!busy && hasResponded && !parser.hasBegun()) {
            waitingSinceMs = sidecar.loop().now();
        }
        try {
            while (!busy && !connection.isClosed() && parser.feed(bytes)) {
                busy = true;
                keepAlive = parser.keepAlive();
                request();
            }
            if (!busy && parser.waitsForContinue()) {
                connection.write(MessageWriter.response(100).noBody(), () -> {});
            }
        } catch (BadMessageException e) {
            reject(e);
        } catch (RuntimeException e) {
            failed(e);
        }
    }

    /** Whatever went wrong, the client gets its one answer. */
    private void failed(RuntimeException e) {
        LOG.log(System.Logger.Level.ERROR, "a request failed", e);
        reject(new BadMessageException(500, "internal error"));
    }

    /** Whether it is still there could not be seen any more, and its request must not be sent on without it. */
    @Override
    public void readAheadExceeded() {
        reject(new BadMessageException(400, "too much was sent ahead of an answer"));
    }

    private void request() throws BadMessageException {
        if (parser.target().equals("/_health")) {
            boolean ready = sidecar.isReady();
            respond(
                    MessageWriter.response(ready ? 200 : 503),
                    (ready ? "ok\n" : "not ready: starting, or no servers known\n")
                            .getBytes(StandardCharsets.US_ASCII));
            return;
        }
        Headers headers = parser.headers();
        String requestClass = headers.get("X-Qos");
        Idempotency idempotency = requestClass == null ? null : host.idempotencyOf(requestClass);
        if (idempotency == null) {
            throw new BadMessageException(400, "X-Qos names no class of the settings");
        }
        String id = headers.get("X-Trace-Id");
        if (id == null || !TRACE_ID.matcher(id).matches()) { // two such fields come as one with a comma, which is none
            throw new BadMessageException(400, "X-Trace-Id is missing or malformed");
        }
        if (idempotency == Idempotency.KEYED
                && headers.get("Idempotency-Key") == null) { // no server could drop its repeat
            throw new BadMessageException(400, "Idempotency-Key is missing");
        }
        List<Headers.Field> endToEndHeaders = headers.endToEnd().stream()
                .filter(f -> !f.name().equalsIgnoreCase(BalancerHost.EXPIRES_IN_HEADER))
                .toList(); // each attempt has its own
        PendingRequest.ForwardedRequest content = new PendingRequest.ForwardedRequest(
                id, parser.method(), parser.target(), endToEndHeaders, parser.takeBody());
        RequestAttributes attributes = RequestAttributes.of(headers, host.tenants());
        double timeBudgetMs = timeBudgetMs(headers);
        boolean isRetry = "1".equals(headers.get("X-Second-Try"));
        queued = content;
        // The client's end may lie right behind its request. The next read comes after this, and what it finds at once
        // stands in line by the time the first of these tasks runs: so the second one is behind it.
        sidecar.loop().execute(() -> sidecar.loop()
                .execute(() -> forward(content, attributes, requestClass, timeBudgetMs, isRetry)));
    }

    /** Passes on a whole request, unless its client has left meanwhile. */
    private void forward(
            PendingRequest.ForwardedRequest content,
            RequestAttributes attributes,
            String requestClass,
            double timeBudgetMs,
            boolean isRetry) {
        if (queued != content) {
            return;
        }
        queued = null;
        if (host.isIdInUse(content.id())) { // sent on, it could not be told from the other one's repeat
            reject(new BadMessageException(409, "X-Trace-Id is that of an open request"));
            return;
        }
        try {
            request = host.accept(content, attributes, requestClass, timeBudgetMs, isRetry, this);
        } catch (RuntimeException e) {
            failed(e);
        }
    }

    private static double timeBudgetMs(Headers headers) throws BadMessageException {
        String text = headers.get(BalancerHost.EXPIRES_IN_HEADER);
        if (text == null || !MILLISECONDS.matcher(text).matches() || Long.parseLong(text) == 0) {
            throw new BadMessageException(400, "X-Expires-In-Ms is not a time in whole milliseconds");
        }
        return Math.min(MAX_TIME_BUDGET_MS, Long.parseLong(text));
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
        sidecar.remove(this);
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
        waitingSinceMs = sidecar.loop().now();
        hasResponded = true;
        boolean last = !keepAlive || sidecar.closing() || !sidecar.hasIdleCapacity();
        connection.write(head.header("Connection", last ? "close" : null).body(body), () -> {});
        request = null;
        parser.reset();
        if (last) {
            sidecar.remove(this);
            connection.closeGracefully();
        } else {
            busy = false;
            connection.resume();
        }
    }

    /** Whether a request is being answered. */
    boolean busy() {
        return busy;
    }

    /** Whether nothing has come at all since the connection was accepted. */
    boolean isSilent() {
        return !hasReceived;
    }

    /** Whether it waits between requests, having had an answer. */
    boolean isIdle() {
        return hasResponded && !parser.hasBegun();
    }

    /**
     * Since when a whole request is waited for: its first byte, or the accepting of a connection that has had no
     * answer yet. Bytes that trickle in do not put it off.
     */
    double waitingSinceMs() {
        return waitingSinceMs;
    }

    /** No request became whole in time; one that has begun is owed its error. */
    void timeOut() {
        if (parser.hasBegun()) {
            reject(new BadMessageException(408, "the request did not become whole in time"));
        } else {
            sidecar.remove(this);
            connection.close();
        }
    }

    /** Ends the connection if no request is being answered on it, nor read, unless {@code unread} gives those up. */
    void closeIfIdle(boolean includeUnread) {
        if (!busy && (includeUnread || !parser.hasBegun())) {
            sidecar.remove(this);
            connection.closeGracefully();
        }
    }
}
