package dewplank.balancer.adaptive;

import dewplank.balancer.Event.AttemptEnded;
import dewplank.balancer.Outcome;
import dewplank.balancer.Settings;

/**
 * Records what the outcome of an attempt says of its server: its latency, its health, its backoff. Called by
 * {@link AttemptTracker}, once for each start of a stream and each end of an attempt.
 */
final class OutcomeRecorder {
    private final Settings settings;
    private final Step step;
    private final OutcomeMonitor outcomes;
    private final LatencyEstimates latency;
    private final ServerBackoff backoff;

    OutcomeRecorder(
            Settings settings,
            Step step,
            OutcomeMonitor outcomes,
            LatencyEstimates latency,
            ServerBackoff serverBackoff) {
        this.settings = settings;
        this.step = step;
        this.outcomes = outcomes;
        this.latency = latency;
        this.backoff = serverBackoff;
    }

    /** The first part of a stream came: the server has answered. */
    void recordStreamStarted(Attempt attempt, double elapsedMs) {
        latency.recordAnswer(attempt, elapsedMs);
        outcomes.observe(attempt.server, attempt.request.rules().name(), true);
    }

    /** The attempt has ended and is in flight no more. */
    void recordEnd(Attempt attempt, AttemptEnded event) {
        attempt.server.inFlight.remove(attempt);
        attempt.server.lastUseAtMs = step.nowMs();
        boolean isInformative = event.outcome() != Outcome.CANCELLED && event.outcome() != Outcome.NEVER_SENT;
        if (attempt.opensConnection && isInformative) {
            latency.recordConnect(event.outcome() == Outcome.CONNECT_FAILED);
        }
        attempt.state = provenState(event.outcome());
        recordOutcome(attempt, event);
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
            case TIMED_OUT -> recordTimedOut(attempt, event.elapsedMs());
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

    private void recordTimedOut(Attempt attempt, double elapsedMs) {
        if (!attempt.isOverdue) {
            outcomes.suspectAsStuck(attempt);
        }
        latency.recordTimeout(attempt, elapsedMs);
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
}
