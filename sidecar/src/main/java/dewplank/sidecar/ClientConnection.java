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
final class ClientConnection implements Listener.Accepted, ClientRequest.Answerer {
    private static final System.Logger LOG = System.getLogger(ClientConnection.class.getName());
    private static final byte[] NOTHING = new byte[0];
    private static final Pattern MILLISECONDS = Pattern.compile("[0-9]{1,9}");
    private static final long MOST_MS = 3_600_000;
    private static final Pattern ID = Pattern.compile("[!-+\\--~]{1,128}"); // visible, no comma

    private final Host host;
    private final Sidecar sidecar;
    private final RequestParser parser = new RequestParser();
    private Connection connection;
    private ClientRequest.Content whole;
    private ClientRequest request;
    private boolean busy;
    private boolean keepAlive;
    private boolean heard;
    private boolean answered;
    private double waitsSince;

    ClientConnection(Host host, Sidecar sidecar) {
        this.host = host;
        this.sidecar = sidecar;
    }

    @Override
    public void accepted(Connection accepted) {
        connection = accepted;
        waitsSince = sidecar.loop().now();
        sidecar.joined(this);
    }

    @Override
    public void received(ByteBuffer bytes) {
        heard = true;
        if (!busy && answered && !parser.hasBegun()) {
            waitsSince = sidecar.loop().now();
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
            boolean ready = sidecar.ready();
            answer(
                    MessageWriter.response(ready ? 200 : 503),
                    (ready ? "ok\n" : "not ready: starting, or no servers known\n")
                            .getBytes(StandardCharsets.US_ASCII));
            return;
        }
        Headers h = parser.headers();
        String requestClass = h.get("X-Qos");
        Idempotency effect = requestClass == null ? null : host.effect(requestClass);
        if (effect == null) {
            throw new BadMessageException(400, "X-Qos names no class of the settings");
        }
        String id = h.get("X-Trace-Id");
        if (id == null || !ID.matcher(id).matches()) { // two such fields come as one with a comma, which is none
            throw new BadMessageException(400, "X-Trace-Id is missing or malformed");
        }
        if (effect == Idempotency.KEYED && h.get("Idempotency-Key") == null) { // no server could drop its repeat
            throw new BadMessageException(400, "Idempotency-Key is missing");
        }
        List<Headers.Field> passedOn = h.endToEnd().stream()
                .filter(f -> !f.name().equalsIgnoreCase(Host.EXPIRES))
                .toList(); // each attempt has its own
        ClientRequest.Content content =
                new ClientRequest.Content(id, parser.method(), parser.target(), passedOn, parser.takeBody());
        Subject subject = Subject.of(h, host.tenants());
        double budget = budget(h);
        boolean repeat = "1".equals(h.get("X-Second-Try"));
        whole = content;
        // The client's end may lie right behind its request. The next read comes after this, and what it finds at once
        // stands in line by the time the first of these tasks runs: so the second one is behind it.
        sidecar.loop()
                .execute(() -> sidecar.loop().execute(() -> pass(content, subject, requestClass, budget, repeat)));
    }

    /** Passes on a whole request, unless its client has left meanwhile. */
    private void pass(
            ClientRequest.Content content, Subject subject, String requestClass, double budget, boolean repeat) {
        if (whole != content) {
            return;
        }
        whole = null;
        if (host.isOpen(content.id())) { // sent on, it could not be told from the other one's repeat
            reject(new BadMessageException(409, "X-Trace-Id is that of an open request"));
            return;
        }
        try {
            request = host.take(content, subject, requestClass, budget, repeat, this);
        } catch (RuntimeException e) {
            failed(e);
        }
    }

    private static double budget(Headers h) throws BadMessageException {
        String text = h.get(Host.EXPIRES);
        if (text == null || !MILLISECONDS.matcher(text).matches() || Long.parseLong(text) == 0) {
            throw new BadMessageException(400, "X-Expires-In-Ms is not a time in whole milliseconds");
        }
        return Math.min(MOST_MS, Long.parseLong(text));
    }

    /** What follows a malformed request can't be told apart from it, so the connection ends. */
    private void reject(BadMessageException e) {
        giveUpRequest();
        busy = true;
        keepAlive = false;
        answer(MessageWriter.response(e.status()), (e.getMessage() + "\n").getBytes(StandardCharsets.UTF_8));
    }

    @Override
    public void closed(IOException why) {
        sidecar.left(this);
        giveUpRequest();
    }

    private void giveUpRequest() {
        whole = null;
        if (request != null) {
            host.abandon(request);
            request = null;
        }
    }

    @Override
    public void served(byte[] body, List<Headers.Field> headers) {
        answer(MessageWriter.response(200).headers(headers), body);
    }

    @Override
    public void refused(double retryInMs) {
        String seconds = retryInMs > 0 ? String.format(Locale.ROOT, "%.3f", retryInMs / 1000) : null;
        answer(MessageWriter.response(503).header("Retry-After", seconds), NOTHING);
    }

    @Override
    public void failed() {
        answer(MessageWriter.response(502), NOTHING);
    }

    private void answer(MessageWriter head, byte[] body) {
        waitsSince = sidecar.loop().now();
        answered = true;
        boolean last = !keepAlive || sidecar.closing() || !sidecar.roomy();
        connection.write(head.header("Connection", last ? "close" : null).body(body), () -> {});
        request = null;
        parser.reset();
        if (last) {
            sidecar.left(this);
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
    boolean silent() {
        return !heard;
    }

    /** Whether it waits between requests, having had an answer. */
    boolean idle() {
        return answered && !parser.hasBegun();
    }

    /**
     * Since when a whole request is waited for: its first byte, or the accepting of a connection that has had no
     * answer yet. Bytes that trickle in do not put it off.
     */
    double waitsSince() {
        return waitsSince;
    }

    /** No request became whole in time; one that has begun is owed its error. */
    void giveUp() {
        if (parser.hasBegun()) {
            reject(new BadMessageException(408, "the request did not become whole in time"));
        } else {
            sidecar.left(this);
            connection.close();
        }
    }

    /** Ends the connection if no request is being answered on it, nor read, unless {@code unread} gives those up. */
    void endIfIdle(boolean unread) {
        if (!busy && (unread || !parser.hasBegun())) {
            sidecar.left(this);
            connection.closeGracefully();
        }
    }
}
