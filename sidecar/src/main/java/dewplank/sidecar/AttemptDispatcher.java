package dewplank.sidecar;

import dewplank.balancer.Action.Cancel;
import dewplank.balancer.Action.Send;
import dewplank.balancer.Event;
import dewplank.balancer.Event.AttemptEnded;
import dewplank.balancer.Event.HealthChecked;
import dewplank.balancer.Outcome;
import dewplank.balancer.Settings;
import dewplank.discovery.DiscoveryClient;
import dewplank.http.Headers;
import dewplank.http.MessageWriter;
import dewplank.net.EventLoop;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.function.Consumer;

/**
 * Executes the balancer's sends, cancellations and health checks as HTTP attempts, and reports the end of each as an
 * event.
 *
 * <p>{@link BalancerHost} calls it on the event loop's thread. An attempt that cannot start is reported as
 * {@link Outcome#NEVER_SENT} before the call returns; the host queues that event.
 */
final class AttemptDispatcher {
    /** Request header with the remaining time of the attempt, in whole milliseconds. */
    static final String EXPIRES_IN_HEADER = "X-Expires-In-Ms";

    private static final double HEALTH_CHECK_TIMEOUT_MS = 250;

    private final EventLoop loop;
    private final Settings settings;
    private final DiscoveryClient discovery;
    private final OpenRequests requests;
    private final ServerConnections connections;
    private final Consumer<Event> events;

    /** @param events called with an event at the end of each attempt, on the event loop's thread */
    AttemptDispatcher(
            EventLoop loop,
            Settings settings,
            DiscoveryClient discovery,
            OpenRequests requests,
            ServerConnections connections,
            Consumer<Event> events) {
        this.loop = loop;
        this.settings = settings;
        this.discovery = discovery;
        this.requests = requests;
        this.connections = connections;
        this.events = events;
    }

    /** @param handledAtMs when the balancer handled the event that caused the attempt; the write window starts then */
    void send(Send send, double handledAtMs) {
        PendingRequest request = requests.get(send.request());
        if (request == null) { // already complete and released
            events.accept(new AttemptEnded(send.request(), 0, send.server(), Outcome.NEVER_SENT, 0, true, null));
            return;
        }
        int attempt = request.attempts.size();
        InetSocketAddress server = discovery.addressOf(send.server());
        double remainingMs = request.deadlineMs - loop.now();
        if (request.isComplete || server == null || remainingMs <= 0 || send.timeoutMs() < 0) {
            request.attempts.add(null);
            events.accept(new AttemptEnded(
                    send.request(), attempt, send.server(), Outcome.NEVER_SENT, 0, request.isComplete, null));
            return;
        }
        double timeoutMs = send.timeoutMs() == 0 ? remainingMs : Math.min(send.timeoutMs(), remainingMs);
        request.attemptsInFlight++;
        if (!connections.ensureCapacity()) { // this sidecar's limit: the balancer must not count it against the server
            request.attempts.add(null);
            attemptEnded(
                    request, attempt, send.server(), new HttpAttempt.Result(Outcome.NEVER_SENT, 0, null, null, null));
            return;
        }
        HttpAttempt sent = new HttpAttempt(
                loop,
                server,
                connections.poolOf(send.server()),
                encode(request.forwarded, server, timeoutMs),
                () -> !request.isComplete && discovery.acceptsRequests(send.server()),
                (ended, result) -> {
                    connections.attemptEnded();
                    attemptEnded(request, attempt, send.server(), result);
                });
        request.attempts.add(sent);
        connections.attemptStarted();
        sent.start(timeoutMs, settings.limits().connectTimeoutMs(), handledAtMs + send.writeWithinMs());
    }

    /** Cancels the attempt if it was started; has no effect on an unknown attempt or one that has ended. */
    void cancel(Cancel cancel) {
        PendingRequest request = requests.get(cancel.request());
        if (request != null
                && cancel.attempt() < request.attempts.size()
                && request.attempts.get(cancel.attempt()) != null) {
            request.attempts.get(cancel.attempt()).cancel();
        }
    }

    private void attemptEnded(PendingRequest request, int attempt, String server, HttpAttempt.Result result) {
        request.attemptsInFlight--;
        boolean isFinalResponse = result.outcome() == Outcome.SERVED && !request.isComplete;
        if (isFinalResponse) {
            requests.complete(request);
            request.responses.respondServed(result.body(), result.headers());
        }
        requests.releaseIfDone(request);
        events.accept(new AttemptEnded(
                request.number,
                attempt,
                server,
                result.outcome(),
                result.elapsedMs(),
                request.isComplete,
                LoadReport.parse(result.loadReport(), settings.loadReportFields())));
    }

    /**
     * Sends a health check to a server. It requests the load report too if the settings state that checks return it.
     */
    void checkHealth(String server) {
        InetSocketAddress address = discovery.addressOf(server);
        if (address == null || !connections.ensureCapacity()) {
            events.accept(new HealthChecked(server, false, 0, null));
            return;
        }
        connections.attemptStarted();
        boolean requestsLoadReport = settings.loadReportsComeWithHealthChecks();
        ByteBuffer request = MessageWriter.request("GET", requestsLoadReport ? "/_load" : "/ping", hostHeader(address))
                .noBody();
        new HttpAttempt(loop, address, connections.poolOf(server), request, () -> true, (ended, result) -> {
                    connections.attemptEnded();
                    boolean isReportInBody = requestsLoadReport && result.loadReport() == null && result.body() != null;
                    String report =
                            isReportInBody ? new String(result.body(), StandardCharsets.US_ASCII) : result.loadReport();
                    events.accept(new HealthChecked(
                            server,
                            result.outcome() == Outcome.SERVED,
                            result.elapsedMs(),
                            LoadReport.parse(report, settings.loadReportFields())));
                })
                .start(HEALTH_CHECK_TIMEOUT_MS, settings.limits().connectTimeoutMs(), Double.POSITIVE_INFINITY);
    }

    private static ByteBuffer encode(
            PendingRequest.ForwardedRequest forwarded, InetSocketAddress server, double timeoutMs) {
        List<Headers.Field> fields = forwarded.headers().endToEnd();
        fields.removeIf(field -> field.name().equalsIgnoreCase(EXPIRES_IN_HEADER)); // each attempt has its own time
        MessageWriter request = MessageWriter.request(forwarded.method(), forwarded.target(), hostHeader(server))
                .headers(fields)
                .header(EXPIRES_IN_HEADER, Long.toString(Math.max(1, (long) timeoutMs)));
        return forwarded.body().length == 0 && forwarded.method().equals("GET")
                ? request.noBody()
                : request.body(forwarded.body());
    }

    private static String hostHeader(InetSocketAddress server) {
        return server.getAddress().getHostAddress() + ":" + server.getPort();
    }
}
