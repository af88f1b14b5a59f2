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
 * A client's request from its arrival to its single final response. Contains the logic that both kinds of requests
 * share: the deadline, the allowance of attempts, and the choice of a final response that is correct whether or not the
 * request may have run. Subclasses pick servers and handle their responses. Created and started by the {@link
 * Forwarder}; must be used on the event loop's thread only.
 */
abstract sealed class ProxiedRequest permits UnaryRequest, GenerationRequest {
    /** Mean delay after which a rejected client should retry; jitter prevents synchronized retries. */
    private static final double RETRY_AFTER_MS = 100;
    /**
     * Minimum jitter factor of {@link #RETRY_AFTER_MS}; the factor is uniform between this value and this value plus 1.
     */
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

    /** Whether an attempt in flight may have reached a server that may run the request. */
    abstract boolean mayBeRunning();

    abstract void sendFirstAttempt();

    /** Cancels all attempts in flight. */
    abstract void cancelAttempts();

    /** Whether a part of a response was sent to the client. The response can then only be completed or aborted. */
    boolean isResponseStarted() {
        return false;
    }

    private void onDeadline() {
        if (!over) {
            forwarder.counters().add(Count.TIMEOUTS);
            mayHaveRun |= mayBeRunning();
            fail(mayHaveRun ? 504 : 503);
        }
    }

    /**
     * Ends the request because the process terminates. The status is 502 if the request may have run, and 503
     * otherwise.
     */
    final void terminate() {
        mayHaveRun |= mayBeRunning();
        fail(mayHaveRun ? 502 : 503);
    }

    /** Ends the request without a response because its client has disconnected. */
    final void abandon() {
        if (!over) {
            end();
            cancelAttempts();
        }
    }

    final boolean isOver() {
        return over;
    }

    /** Whether the request may have run at a server, in which case it must not be rejected with 503. */
    final boolean mayHaveRun() {
        return mayHaveRun;
    }

    final void recordPossibleRun() {
        mayHaveRun = true;
    }

    /** Records whether the request may have run in an attempt that is being cancelled. */
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

    // ---- final response -------------------------------------------------------------------------------

    private void end() {
        over = true;
        deadline.cancel();
    }

    /** Ends the request after its complete response was passed to the client's connection. */
    final void complete() {
        if (!over) {
            end();
            forwarder.counters().add(Count.SERVED);
            forwarder.onRequestEnded(client);
        }
    }

    /** Relays a server's response to the client. */
    final void relay(int status, List<Headers.Field> headers, byte[] body) {
        if (!over) {
            end();
            forwarder.counters().add(status < 300 ? Count.SERVED : Count.SERVER_ERRORS);
            forwarder.onRequestEnded(client);
            client.respond(status, headers, body);
        }
    }

    /**
     * Responds with 503, which states that the request has not run and will not run, and with the time to retry.
     * Responds with 502 instead if the request may have run.
     */
    final void reject() {
        if (mayHaveRun) {
            fail(502);
            return;
        }
        if (!over) {
            end();
            cancelAttempts();
            forwarder.counters().add(Count.REFUSED);
            forwarder.onRequestEnded(client);
            double waitMs = RETRY_AFTER_MS
                    * (RETRY_AFTER_MIN_FACTOR + forwarder.random().nextDouble());
            String seconds = String.format(Locale.ROOT, "%.3f", waitMs / MS_PER_SECOND);
            client.respond(503, List.of(new Headers.Field("Retry-After", seconds)), new byte[0]);
        }
    }

    /** Responds that the request failed, or aborts a response that has started. */
    final void fail(int status) {
        if (isResponseStarted()) {
            abortResponse();
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
            forwarder.onRequestEnded(client);
            client.respond(status == 503 ? 502 : status);
        }
    }

    /** Aborts the client's connection within the response. */
    final void abortResponse() {
        if (!over) {
            end();
            cancelAttempts();
            forwarder.counters().add(Count.BROKEN);
            forwarder.onRequestEnded(client);
            client.abort();
        }
    }
}
