package dewplank.balancer.adaptive;

/**
 * Converts outcomes of attempts into health observations of their servers, and into suspicions against
 * servers that may be hung.
 */
final class OutcomeMonitor {
    private final Step step;
    private final LatencyEstimates latency;
    private final WorkingSet workingSet;

    OutcomeMonitor(Step step, LatencyEstimates latency, WorkingSet workingSet) {
        this.step = step;
        this.latency = latency;
        this.workingSet = workingSet;
    }

    /** Records whether a request of this class was served. */
    void observe(ServerState server, String requestClass, boolean isHealthy) {
        server.health.observe(step.nowMs(), requestClass, isHealthy);
        if (isHealthy) {
            server.suspicions = 0;
            server.nextBackoffMs = 0;
        }
        if (!isHealthy || server.isEjected) {
            workingSet.requestReview(); // the ejection of the server may change
        }
    }

    /**
     * Records a response to an overdue attempt. The server is alive; its lateness has already been recorded
     * as an unhealthy observation.
     */
    void observeLateResponse(ServerState server) {
        server.suspicions = 0;
        server.health.recordLateSuccess(step.nowMs());
    }

    /**
     * Records an error: an unhealthy observation, and a suspicion that does not raise the predicted
     * latency.
     */
    void suspectAfterError(Attempt attempt) {
        suspect(attempt, Double.POSITIVE_INFINITY);
    }

    /**
     * Records a missing response: an unhealthy observation, and a suspicion that starts at the attempt's
     * send time.
     */
    void suspectAfterNoResponse(Attempt attempt) {
        suspect(attempt, attempt.sentAtMs);
    }

    private void suspect(Attempt attempt, double startedAtMs) {
        ServerState server = attempt.server;
        double earliestMs = Math.min(server.suspectSinceMs, startedAtMs);
        server.suspectSinceMs = latency.isSuspect(server) ? earliestMs : startedAtMs;
        server.suspicions++;
        server.lastSuspicionAtMs = step.nowMs();
        observe(server, attempt.request.requestClass().name(), false);
    }
}
