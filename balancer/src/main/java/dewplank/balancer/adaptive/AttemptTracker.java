package dewplank.balancer.adaptive;

import dewplank.balancer.Event.AttemptEnded;
import dewplank.balancer.Event.StreamStarted;
import dewplank.balancer.Outcome;
import dewplank.balancer.Settings;

/** Follows attempts to their outcome: what it says of the server, and whether the request is retried. */
final class AttemptTracker {
    private final Settings settings;
    private final Step step;
    private final RequestTable requests;
    private final OutcomeMonitor outcomes;
    private final LatencyEstimates latency;
    private final ServerBackoff backoff;
    private final RetryBudget retries;
    private final ServerPicker picker;
    private final AttemptScheduler scheduler;
    private final RequestCompletion completion;

    AttemptTracker(
            Settings settings,
            Step step,
            RequestTable requests,
            OutcomeMonitor outcomes,
            LatencyEstimates latency,
            ServerBackoff backoff,
            RetryBudget retries,
            ServerPicker picker,
            AttemptScheduler scheduler,
            RequestCompletion completion) {
        this.settings = settings;
        this.step = step;
        this.requests = requests;
        this.outcomes = outcomes;
        this.latency = latency;
        this.backoff = backoff;
        this.retries = retries;
        this.picker = picker;
        this.scheduler = scheduler;
        this.completion = completion;
    }

    void onStreamStarted(StreamStarted event) {
        Attempt attempt = requests.findAttempt(event.request(), event.attempt());
        if (attempt == null) {
            return;
        }
        PendingRequest request = attempt.request;
        request.isStreaming = true;
        latency.recordAnswer(attempt, event.elapsedMs());
        outcomes.observe(attempt.server, request.rules().name(), true);
        completion.cancelOthers(request, attempt);
    }

    void onEnded(AttemptEnded event) {
        Attempt attempt = requests.findAttempt(event.request(), event.attempt());
        if (attempt == null) {
            return;
        }
        PendingRequest request = attempt.request;
        attempt.server.inFlight.remove(attempt);
        attempt.server.lastUseAtMs = step.nowMs();
        boolean isInformative = event.outcome() != Outcome.CANCELLED && event.outcome() != Outcome.NEVER_SENT;
        if (attempt.opensConnection && isInformative) {
            latency.recordConnect(event.outcome() == Outcome.CONNECT_FAILED);
        }
        attempt.state = provenState(event.outcome());
        recordOutcome(attempt, event);
        if (event.requestIsOver()) {
            completion.close(request);
        }
        if (!request.isOver && !request.isStreaming && !request.hasAttemptInFlight()) {
            retryOrAnswer(request, event.outcome());
        }
        requests.removeIfDone(request);
    }

    private Attempt.State provenState(Outcome outcome) {
        return switch (outcome) {
            case REJECTED -> settings.safety().rejectedMayHaveRun()
                    ? Attempt.State.MAY_HAVE_RUN
                    : Attempt.State.NEVER_RAN;
            case CONNECT_FAILED, NEVER_SENT -> Attempt.State.NEVER_RAN;
            default -> Attempt.State.MAY_HAVE_RUN;
        };
    }

    private void recordOutcome(Attempt attempt, AttemptEnded event) {
        switch (event.outcome()) {
            case SERVED -> recordServed(attempt, event.elapsedMs());
            case ERROR, RESET -> outcomes.suspectAfterError(attempt);
            case TIMED_OUT -> {
                if (!attempt.isOverdue) {
                    outcomes.suspectAsStuck(attempt);
                }
                latency.recordTimeout(attempt, event.elapsedMs());
            }
            case CONNECT_FAILED -> recordConnectFailure(attempt);
            case REJECTED -> backoff.begin(attempt, ServerBackoff.AFTER_REJECTION_MS);
            case CANCELLED, NEVER_SENT -> {}
        }
    }

    private void recordServed(Attempt attempt, double elapsedMs) {
        ServerState server = attempt.server;
        PendingRequest request = attempt.request;
        server.lastServedSentAtMs = Math.max(server.lastServedSentAtMs, attempt.sentAtMs);
        if (!request.isStreaming) {
            latency.recordAnswer(attempt, elapsedMs);
        }
        boolean isInTime = step.nowMs() <= request.targetAtMs();
        request.stats.valueServed +=
                request.value * (isInTime ? 1 : request.rules().lateValue());
        if (attempt.isOverdue) {
            outcomes.observeLateAnswer(server);
        } else {
            outcomes.observe(server, request.rules().name(), true);
        }
    }

    /** A server that answers on its open connections has a full connection table; else it may be dead. */
    private void recordConnectFailure(Attempt attempt) {
        ServerState server = attempt.server;
        if (server.inFlight.isEmpty()) {
            server.connections = 0;
        }
        double sinceSuccessMs = step.nowMs() - server.health.lastSuccessAtMs();
        if (sinceSuccessMs > 2 * settings.limits().connectTimeoutMs()) {
            outcomes.suspectAsStuck(attempt);
        }
        backoff.begin(attempt, ServerBackoff.AFTER_CONNECT_FAILURE_MS);
    }

    /** No attempt is in flight and the request is not over: another attempt, or the final answer at once. */
    private void retryOrAnswer(PendingRequest request, Outcome last) {
        boolean mayRetry = step.nowMs() + settings.tickMs() < request.deadlineAtMs
                && last != Outcome.NEVER_SENT
                && retries.allowsRetry(request);
        ServerState server = mayRetry ? picker.pick(request) : null;
        if (server != null) {
            scheduler.send(request, server);
        } else {
            completion.rejectOrFail(request);
        }
    }
}
