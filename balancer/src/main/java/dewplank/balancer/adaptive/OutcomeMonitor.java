package dewplank.balancer.adaptive;

/**
 * Turns what became of attempts into observations of their servers, and into suspicions of servers that may
 * hang.
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

    /** A request of that class was answered, or was not. */
    void observe(ServerState server, String requestClass, boolean isHealthy) {
        server.health.observe(step.nowMs(), requestClass, isHealthy);
        if (isHealthy) {
            server.suspicions = 0;
            server.nextBackoffMs = 0;
        }
        if (!isHealthy || server.isEjected) {
            workingSet.requestReview(); // the verdict may change
        }
    }

    /**
     * An answer came, but after the attempt was overdue: the server is alive, and its lateness stands as
     * observed.
     */
    void observeLateAnswer(ServerState server) {
        server.suspicions = 0;
        server.health.recordLateSuccess(step.nowMs());
    }

    /** The server failed at once: an unhealthy observation. The error took the time that it took. */
    void suspectAfterError(Attempt attempt) {
        suspect(attempt, Double.POSITIVE_INFINITY);
    }

    /**
     * No outcome in time: an unhealthy observation, and a suspicion that holds from the attempt's send on.
     */
    void suspectAsStuck(Attempt attempt) {
        suspect(attempt, attempt.sentAtMs);
    }

    private void suspect(Attempt attempt, double sinceMs) {
        ServerState server = attempt.server;
        double earliestMs = Math.min(server.suspectSinceMs, sinceMs);
        server.suspectSinceMs = latency.isSuspect(server) ? earliestMs : sinceMs;
        server.suspicions++;
        server.lastSuspicionAtMs = step.nowMs();
        observe(server, attempt.request.rules().name(), false);
    }
}
