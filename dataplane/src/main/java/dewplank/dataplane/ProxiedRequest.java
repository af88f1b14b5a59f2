package dewplank.dataplane;

import dewplank.configuration.Route;
import dewplank.configuration.RouteType;
import dewplank.configuration.Service;
import dewplank.dataplane.Counters.Count;
import dewplank.exchange.InboundConnection;
import dewplank.http.Headers;
import dewplank.net.EventLoop;
import java.util.List;
import java.util.Locale;

/**
 * A client's request from its arrival to its one final answer. Holds what both kinds of requests share: the deadline,
 * the attempts that are left, and which final answers are true at which time. Subclasses choose servers and take their
 * answers. Created and started by the {@link Forwarder}; on the event loop's thread only.
 */
abstract sealed class ProxiedRequest permits UnaryRequest, GenerationRequest {
    /** After about this time a rejected client is to retry; the jitter below keeps clients apart. */
    private static final double RETRY_AFTER_MS = 100;
    /** Retry-After is between this much and this much plus one of {@link #RETRY_AFTER_MS}. */
    private static final double RETRY_AFTER_MIN_FACTOR = 0.5;

    private static final double MS_PER_SECOND = 1_000;

    final Forwarder forwarder;
    final EventLoop loop;
    final InboundConnection client;
    final Route route;
    final Service service;
    final Credentials credentials;
    final double arrivedAt;
    final RequestDeadline deadline;
    final AttemptAllowance allowance;
    final AttemptFactory attempts;

    private boolean mayHaveRun;
    private boolean over;

    ProxiedRequest(
            Forwarder forwarder,
            InboundConnection.Request request,
            InboundConnection client,
            Route route,
            Service service,
            Credentials credentials,
            double arrivedAt) {
        this.forwarder = forwarder;
        this.loop = forwarder.loop();
        this.client = client;
        this.route = route;
        this.service = service;
        this.credentials = credentials;
        this.arrivedAt = arrivedAt;
        this.deadline = new RequestDeadline(
                loop, arrivedAt, request.headers().get(HeaderNames.REMAINING_TIME), route.timeoutMs());
        this.allowance = new AttemptAllowance(
                forwarder.retryBudgets(),
                forwarder.counters(),
                service.name(),
                route.maxAttempts(),
                deadline,
                credentials);
        this.attempts = new AttemptFactory(loop, forwarder.counters(), request, deadline, credentials);
    }

    final void start() {
        deadline.start(this::onDeadline);
        sendFirstAttempt();
    }

    /** Whether an attempt that may run the request has begun to be sent and has not been answered yet. */
    abstract boolean hasRunUnderWay();

    abstract void sendFirstAttempt();

    /** Ends whatever is under way at servers. */
    abstract void cancelAttempts();

    /** Whether a part of an answer has gone to the client: then only its end or a break can follow. */
    boolean isAnswerStarted() {
        return false;
    }

    private void onDeadline() {
        if (!over) {
            forwarder.counters().add(Count.TIMEOUTS);
            mayHaveRun |= hasRunUnderWay();
            fail(mayHaveRun ? 504 : 503);
        }
    }

    /** Ends the request with the answer that is true by now, as the process ends. */
    final void terminate() {
        mayHaveRun |= hasRunUnderWay();
        fail(mayHaveRun ? 502 : 503);
    }

    /** Ends the request without an answer, as its client has disconnected. */
    final void abandon() {
        if (!over) {
            end();
            cancelAttempts();
        }
    }

    final boolean isOver() {
        return over;
    }

    /** Whether the request may have run at a server; then it is never rejected as one that did not. */
    final boolean mayHaveRun() {
        return mayHaveRun;
    }

    final void recordPossibleRun() {
        mayHaveRun = true;
    }

    /** Records what an attempt that is given up may have done. */
    final void recordPossibleRunOf(ServerAttempt attempt) {
        mayHaveRun |= attempt.mayHaveReachedServer();
    }

    /** Whether the request may run more than once. */
    final boolean isIdempotent() {
        return route.type() == RouteType.SAFE || route.type() == RouteType.STREAMING && route.resumable();
    }

    final void recordOutcome(Server server, boolean healthy) {
        forwarder.serverFeedback().recordOutcome(server, route.name(), healthy);
    }

    // ---- the final answer -----------------------------------------------------------------------------

    private void end() {
        over = true;
        deadline.cancel();
    }

    /** The answer is complete and on its way. */
    final void complete() {
        if (!over) {
            end();
            forwarder.counters().add(Count.SERVED);
            forwarder.requestEnded(client);
        }
    }

    /** Answers with a server's answer. */
    final void relay(int status, List<Headers.Field> headers, byte[] body) {
        if (!over) {
            end();
            forwarder.counters().add(status < 300 ? Count.SERVED : Count.SERVER_ERRORS);
            forwarder.requestEnded(client);
            client.answer(status, headers, body);
        }
    }

    /** Answers that the request has not run and never will, and when to retry; 502 where that would be untrue. */
    final void reject() {
        if (mayHaveRun) {
            fail(502);
            return;
        }
        if (!over) {
            end();
            cancelAttempts();
            forwarder.counters().add(Count.REFUSED);
            forwarder.requestEnded(client);
            double waitMs = RETRY_AFTER_MS
                    * (RETRY_AFTER_MIN_FACTOR + forwarder.random().nextDouble());
            String seconds = String.format(Locale.ROOT, "%.3f", waitMs / MS_PER_SECOND);
            client.answer(503, List.of(new Headers.Field("Retry-After", seconds)), new byte[0]);
        }
    }

    /** Answers that the request failed; breaks off an answer that has begun. */
    final void fail(int status) {
        if (isAnswerStarted()) {
            breakOff();
            return;
        }
        if (status == 503 && !mayHaveRun) {
            reject();
            return;
        }
        if (!over) {
            end();
            cancelAttempts();
            forwarder.counters().add(Count.FAILED);
            forwarder.requestEnded(client);
            client.answer(status == 503 ? 502 : status);
        }
    }

    /** Ends the client's connection in the middle of its answer. */
    final void breakOff() {
        if (!over) {
            end();
            cancelAttempts();
            forwarder.counters().add(Count.BROKEN);
            forwarder.requestEnded(client);
            client.abort();
        }
    }
}
