package dewplank.dataplane;

import dewplank.configuration.Route;
import dewplank.configuration.RouteType;
import dewplank.configuration.Service;
import dewplank.dataplane.Counters.Count;
import dewplank.exchange.HttpCall;
import dewplank.exchange.InboundConnection;
import dewplank.http.Headers;
import dewplank.http.MessageWriter;
import dewplank.net.EventLoop;
import dewplank.net.TimerWheel;
import dewplank.routing.RoutingParameters;
import dewplank.routing.TrackedServer;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Set;

/**
 * A client's request and its one final answer. What is common to plain requests and generations: the deadline, the
 * count of servers sent to, the budget, and what may be answered when.
 */
abstract class ProxiedRequest {
    private static final double DEADLINE_SPARE_MS = 5; // the answer has to reach the client before it stops waiting
    private static final double DEFAULT_WAIT_MS = 60_000; // for requests that name no time
    private static final RoutingParameters.Backoff BACKOFF = RoutingParameters.DEFAULTS.backoff();
    private static final double RETRY_AFTER_MS = 100;

    final Forwarder forwarder;
    final EventLoop loop;
    final InboundConnection.Request request;
    final InboundConnection client;
    final Route route;
    final Service service;
    final double arrivedAt;
    final double deadline;
    private final String attemptId;
    private final Set<String> tried = new HashSet<>();
    /** Servers sent to, as the route's limit and the budget count them. */
    int sends;
    /** Sends that were taken out of the budget. */
    private int charged;
    /** Whether the request may have run at a server. */
    boolean mayHaveRun;

    private TimerWheel.Timer deadlineTimer;
    private boolean over;

    ProxiedRequest(
            Forwarder forwarder,
            InboundConnection.Request request,
            InboundConnection client,
            Route route,
            Service service,
            double arrivedAt) {
        this.forwarder = forwarder;
        this.loop = forwarder.loop();
        this.request = request;
        this.client = client;
        this.route = route;
        this.service = service;
        this.arrivedAt = arrivedAt;
        this.attemptId = request.headers().get(HeaderNames.ATTEMPT_ID);
        this.deadline = arrivedAt + Math.min(clientWaits(), route.timeoutMs()) - DEADLINE_SPARE_MS;
    }

    private double clientWaits() {
        String text = request.headers().get(HeaderNames.REMAINING_TIME);
        try {
            double ms = text == null ? DEFAULT_WAIT_MS : Double.parseDouble(text);
            return Double.isNaN(ms) ? DEFAULT_WAIT_MS : Math.max(1, ms);
        } catch (NumberFormatException e) {
            return DEFAULT_WAIT_MS;
        }
    }

    final void start() {
        deadlineTimer = loop.after(Math.max(1, remaining()), this::deadlinePassed);
        send();
    }

    /** Whether a call that may run the request has begun to be sent and has not been answered yet. */
    abstract boolean runMayBeUnderWay();

    /** Begins the first send. */
    abstract void send();

    /** Ends whatever is under way at servers. */
    abstract void cancelCalls();

    private void deadlinePassed() {
        if (!over) {
            forwarder.counters().add(Count.TIMEOUTS);
            mayHaveRun |= runMayBeUnderWay();
            fail(mayHaveRun ? 504 : 503);
        }
    }

    /** The process ends: whatever can be said by now is said. */
    final void endNow() {
        mayHaveRun |= runMayBeUnderWay();
        fail(mayHaveRun ? 502 : 503);
    }

    /** The client has left: nothing more is sent for it, and what runs for it is ended. */
    final void abandon() {
        if (!over) {
            end();
            cancelCalls();
        }
    }

    final double remaining() {
        return deadline - loop.now();
    }

    final boolean over() {
        return over;
    }

    /** Whether the request may run more than once. */
    final boolean repeatable() {
        return route.type() == RouteType.SAFE || route.type() == RouteType.STREAMING && route.resumable();
    }

    /** Whether another server may be sent to now; takes it out of the budget. */
    final boolean takeSend() {
        if (sends >= route.maxAttempts()) {
            forwarder.counters().add(Count.ATTEMPTS_SPENT);
            return false;
        }
        return remaining() > 0 && (sends <= charged || charge());
    }

    /** Takes one send beyond the first out of the budget. */
    final boolean charge() {
        boolean may = forwarder.mayRepeat(service.name());
        charged += may ? 1 : 0;
        return may;
    }

    /** A send that was to be free turned out to count. */
    final void chargeLate() {
        forwarder.countRepeat(service.name());
        charged++;
    }

    // ---- answers --------------------------------------------------------------------------------------

    private void end() {
        over = true;
        deadlineTimer.cancel();
    }

    /** The answer is whole and on its way. */
    final void finished() {
        if (!over) {
            end();
            forwarder.counters().add(Count.SERVED);
            forwarder.done(client);
        }
    }

    /** Passes on a server's answer. */
    final void pass(int status, List<Headers.Field> headers, byte[] body) {
        if (!over) {
            end();
            forwarder.counters().add(status < 300 ? Count.SERVED : Count.SERVER_ERRORS);
            forwarder.done(client);
            client.answer(status, headers, body);
        }
    }

    /** It has not run and never will: the client is told when to come again. */
    final void refuse() {
        if (mayHaveRun) {
            fail(502);
            return;
        }
        if (!over) {
            end();
            cancelCalls();
            forwarder.counters().add(Count.REFUSED);
            forwarder.done(client);
            double waitMs = RETRY_AFTER_MS * (0.5 + forwarder.random().nextDouble());
            String seconds = String.format(Locale.ROOT, "%.3f", waitMs / 1000);
            client.answer(503, List.of(new Headers.Field("Retry-After", seconds)), new byte[0]);
        }
    }

    /** Whether part of an answer has gone to the client: then only its end or a break can follow. */
    boolean answering() {
        return false;
    }

    /** It failed, and may have run. */
    final void fail(int status) {
        if (answering()) {
            breakOff();
            return;
        }
        if (status == 503 && !mayHaveRun) {
            refuse();
            return;
        }
        if (!over) {
            end();
            cancelCalls();
            forwarder.counters().add(Count.FAILED);
            forwarder.done(client);
            client.answer(status == 503 ? 502 : status);
        }
    }

    /** It broke off in the middle of its answer. */
    final void breakOff() {
        if (!over) {
            end();
            cancelCalls();
            forwarder.counters().add(Count.BROKEN);
            forwarder.done(client);
            client.abort();
        }
    }

    // ---- calls ----------------------------------------------------------------------------------------

    /**
     * A call that brings the request to a server, with further fields. A server that has had it before gets it on a
     * connection of its own: a second answer to the first send bears the same id, and would be taken for the answer to
     * the next one, as would one to a request without an id.
     */
    final ServerAttempt callTo(Server server, long tokens, List<Headers.Field> further, HttpCall.Listener listener) {
        boolean again = !tried.add(server.state.instanceId());
        ServerAttempt call =
                new ServerAttempt(loop, server, tokens, message(server, further), forwarder.counters(), listener);
        if (again || attemptId == null) {
            call.alone();
        }
        if (isHead()) {
            call.expectHead();
        }
        return call;
    }

    /** Whether its answers have no body, whatever their fields say. */
    final boolean isHead() {
        return request.method().equals("HEAD");
    }

    /** The request as it is sent to a server, with further fields. */
    private ByteBuffer message(Server server, List<Headers.Field> further) {
        List<Headers.Field> fields = new ArrayList<>();
        for (Headers.Field f : request.headers().endToEnd()) {
            boolean replaced = HeaderNames.systems(f.name())
                    || further.stream().anyMatch(n -> n.name().equalsIgnoreCase(f.name()));
            if (!replaced) {
                fields.add(f);
            }
        }
        fields.addAll(further);
        String host = request.headers().get("Host");
        return MessageWriter.request(request.method(), request.target(), host == null ? server.addressText : host)
                .headers(fields)
                .header(HeaderNames.REMAINING_TIME, Long.toString(Math.max(1, (long) remaining())))
                .header(HeaderNames.TARGET_INSTANCE, server.state.instanceId())
                .body(request.body());
    }

    /**
     * Whether the answer belongs to this request. Servers echo the id, so an answer without one is another's, of the
     * freeing of a handle say; where the request has none its connection carries no other call.
     */
    final boolean isOwn(Headers headers) {
        return attemptId == null || attemptId.equals(headers.get(HeaderNames.ATTEMPT_ID));
    }

    /** Whether the answer says that the server did not run the request. */
    static boolean notRun(int status, Headers headers) {
        return headers.get(HeaderNames.NOT_EXECUTED) != null || status == 421;
    }

    /** Whether the answer is a server's success as it left the server; not of one that says that it did not run. */
    static boolean wholeSuccess(int status, Headers headers) {
        return status >= 200
                && status < 300
                && headers.get(HeaderNames.SEAL) != null
                && headers.get("Content-Encoding") == null
                && headers.get(HeaderNames.NOT_EXECUTED) == null;
    }

    /**
     * Whether the status is the server's last word on the request, and promises nothing that is untrue of one that ran.
     */
    static boolean finalFailure(int status) {
        return status >= 300 && status < 500 && status != 408 && status != 421 && status != 429;
    }

    final void observe(Server server, boolean healthy) {
        forwarder.choice().recordOutcome(loop.now(), server.state, route.name(), healthy);
    }

    /** The server turned the request away, which says nothing of its health. */
    final void turnedAway(Server server, int status) {
        forwarder.counters().add(Count.TURNED_AWAY);
        if (status != 421) {
            server.state.backOff(loop.now(), BACKOFF.rejectedMs(), BACKOFF.maxMs());
        }
    }

    /** The call failed; says whether the request may have run at that server. */
    final boolean failed(Server server, HttpCall.Failure failure) {
        switch (failure) {
            case NOT_CONNECTED -> {
                forwarder.counters().add(Count.CONNECT_FAILURES);
                server.state.backOff(loop.now(), BACKOFF.unreachableMs(), BACKOFF.maxMs());
                observe(server, false);
                return false;
            }
            case NOT_SENT -> {
                forwarder.counters().add(Count.CONNECT_FAILURES);
                server.state.backOff(loop.now(), BACKOFF.rejectedMs(), BACKOFF.maxMs());
                return false;
            }
            default -> {
                forwarder.counters().add(Count.BROKEN);
                observe(server, false);
                return true;
            }
        }
    }

    final boolean untried(TrackedServer s) {
        return !tried.contains(s.instanceId());
    }
}
