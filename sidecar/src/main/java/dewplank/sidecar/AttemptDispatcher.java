package dewplank.sidecar;

import dewplank.balancer.Action.Cancel;
import dewplank.balancer.Action.Send;
import dewplank.balancer.Event;
import dewplank.balancer.Event.AttemptEnded;
import dewplank.balancer.Event.HealthChecked;
import dewplank.balancer.Outcome;
import dewplank.balancer.Settings;
import dewplank.discovery.DiscoveryClient;
import dewplank.http.MessageWriter;
import dewplank.net.EventLoop;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.function.Consumer;

/**
 * Executes the balancer's sends, cancellations and health checks as HTTP attempts, and reports each end as an event.
 *
 * <p>{@link BalancerHost} calls it on the event loop's thread. An attempt that cannot start is reported as
 * {@link Outcome#NEVER_SENT} before the call returns; the host queues that event.
 */
final class AttemptDispatcher {
    /** Header that gives a server the time left for the attempt, in whole milliseconds. */
    static final String EXPIRES_IN_HEADER = "X-Expires-In-Ms";

    private static final double HEALTH_CHECK_TIMEOUT_MS = 250;

    private final EventLoop loop;
    private final Settings settings;
    private final DiscoveryClient discovery;
    private final OpenRequests requests;
    private final ServerConnections connections;
    private final Consumer<Event> events;

    /** @param events takes the attempts' ends; called on the event loop's thread */
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

    /** @param handledAtMs when the event that led to this was handled; the write window counts from there */
    void send(Send send, double handledAtMs) {
        PendingRequest request = requests.get(send.request());
        if (request == null) { // released already, so complete
            events.accept(new AttemptEnded(send.request(), 0, send.server(), Outcome.NEVER_SENT, 0, true, null));
            return;
        }
        int attempt = request.attempts.size();
        InetSocketAddress server = discovery.addressOf(send.server());
        double leftMs = request.deadlineMs - loop.now();
        if (request.isComplete || server == null || leftMs <= 0 || send.timeoutMs() < 0) {
            request.attempts.add(null);
            events.accept(new AttemptEnded(
                    send.request(), attempt, send.server(), Outcome.NEVER_SENT, 0, request.isComplete, null));
            return;
        }
        double timeoutMs = send.timeoutMs() == 0 ? leftMs : Math.min(send.timeoutMs(), leftMs);
        request.attemptsInFlight++;
        if (!connections
                .hasCapacity()) { // a lack of this sidecar's own: the balancer must not count it as the server's
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

    /** Cancels the attempt if it is known and was started; one that has ended stays as it is. */
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
        boolean isFirst = result.outcome() == Outcome.SERVED && !request.isComplete;
        if (isFirst) {
            requests.complete(request);
            request.responses.respondServed(result.body(), result.headers());
        }
        requests.releaseIfDone(request);
        events.accept(new AttemptEnded(
                request.id,
                attempt,
                server,
                result.outcome(),
                result.elapsedMs(),
                request.isComplete,
                LoadReport.parse(result.loadReport(), settings.loadReportFields())));
    }

    /** Asks a server for its health, and for its load report where the settings have it come that way. */
    void checkHealth(String server) {
        InetSocketAddress address = discovery.addressOf(server);
        if (address == null || !connections.hasCapacity()) {
            events.accept(new HealthChecked(server, false, 0, null));
            return;
        }
        connections.attemptStarted();
        boolean wantsLoad = settings.loadReportsComeWithHealthChecks();
        ByteBuffer request = MessageWriter.request("GET", wantsLoad ? "/_load" : "/ping", hostHeader(address))
                .noBody();
        new HttpAttempt(loop, address, connections.poolOf(server), request, () -> true, (ended, result) -> {
                    connections.attemptEnded();
                    boolean inBody = wantsLoad && result.loadReport() == null && result.body() != null;
                    String report = inBody ? new String(result.body(), StandardCharsets.US_ASCII) : result.loadReport();
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
        MessageWriter request = MessageWriter.request(forwarded.method(), forwarded.target(), hostHeader(server))
                .headers(forwarded.headers())
                .header(EXPIRES_IN_HEADER, Long.toString(Math.max(1, (long) timeoutMs)));
        return forwarded.body().length == 0 && forwarded.method().equals("GET")
                ? request.noBody()
                : request.body(forwarded.body());
    }

    private static String hostHeader(InetSocketAddress server) {
        return server.getAddress().getHostAddress() + ":" + server.getPort();
    }
}
