package dewplank.balancer.adaptive;

import dewplank.balancer.Event.AttemptEnded;
import dewplank.balancer.Outcome;
import dewplank.balancer.Settings;

/**
 * Updates a server's latency estimates, health and backoff with the outcome of an attempt. Called by {@link
 * AttemptTracker}, once for each start of a stream and each end of an attempt.
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

    /** Records the first part of a stream, which counts as the server's response. */
    void recordStreamStarted(Attempt attempt, double elapsedMs) {
        latency.recordResponse(attempt, elapsedMs);
        outcomes.observe(attempt.server, attempt.request.requestClass().name(), true);
    }

    /** Records the end of an attempt, which is no longer in flight. */
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
            latency.recordResponse(attempt, elapsedMs);
        }
        boolean isInTime = step.nowMs() <= request.targetAtMs();
        request.stats.valueServed +=
                request.value * (isInTime ? 1 : request.requestClass().lateValue());
        if (attempt.isOverdue) {
            outcomes.observeLateResponse(server);
        } else {
            outcomes.observe(server, request.requestClass().name(), true);
        }
    }

    private void recordTimedOut(Attempt attempt, double elapsedMs) {
        if (!attempt.isOverdue) {
            outcomes.suspectAfterNoResponse(attempt);
        }
        latency.recordTimeout(attempt, elapsedMs);
    }

    /**
     * Records a connection failure. A server that still responds on its open connections has a full
     * connection table; otherwise it may be down.
     */
    private void recordConnectFailure(Attempt attempt) {
        ServerState server = attempt.server;
        if (server.inFlight.isEmpty()) {
            server.connections = 0;
        }
        double timeSinceSuccessMs = step.nowMs() - server.health.lastSuccessAtMs();
        if (timeSinceSuccessMs > 2 * settings.limits().connectTimeoutMs()) {
            outcomes.suspectAfterNoResponse(attempt);
        }
        backoff.begin(attempt, ServerBackoff.AFTER_CONNECT_FAILURE_MS);
    }
}
