package dewplank.balancer.adaptive;

import dewplank.balancer.Action.CheckHealth;
import dewplank.balancer.Event.HealthChecked;
import dewplank.balancer.Settings;
import java.util.function.Predicate;

/**
 * Periodically sends an ejected server the first attempt of a safe request, to detect whether it serves
 * again. A failed health check delays the trial.
 */
final class EjectionTrials {
    private static final double TRIAL_INTERVAL_MS = 1_000;
    private static final double FAILED_CHECK_DELAY_MS = 5_000;
    /** Tokens added per arriving request; limits the fraction of requests sent as trials. */
    private static final double TRIALS_PER_REQUEST = 0.1;

    private static final double MAX_TOKENS = 1;

    private final Settings settings;
    private final Step step;
    private final EndpointTable endpoints;
    private final WorkingSet workingSet;
    private double tokens;

    EjectionTrials(Settings settings, Step step, EndpointTable endpoints, WorkingSet workingSet) {
        this.settings = settings;
        this.step = step;
        this.endpoints = endpoints;
        this.workingSet = workingSet;
    }

    void recordArrival() {
        tokens = Math.min(MAX_TOKENS, tokens + TRIALS_PER_REQUEST);
    }

    void onHealthChecked(HealthChecked event) {
        ServerState server = endpoints.find(event.server());
        if (server != null) {
            server.passedLastHealthCheck = event.isServing();
        }
    }

    /** The ejected server to which this request is sent as a trial, or null. */
    ServerState pick(PendingRequest request, Predicate<ServerState> isEligible) {
        boolean isFirstAttempt = request.attempts.isEmpty();
        if (!isFirstAttempt || !request.isSafe() || !workingSet.ejectionsApply() || tokens < 1) {
            return null;
        }
        for (ServerState server : workingSet.ejected()) {
            if (isDue(server) && isEligible.test(server)) {
                server.lastTrialAtMs = step.nowMs();
                tokens--;
                return server;
            }
        }
        return null;
    }

    /** Whether the server was picked for a trial at the current time. */
    boolean isTrial(ServerState server) {
        return server.isEjected && server.lastTrialAtMs == step.nowMs();
    }

    private boolean isDue(ServerState server) {
        double nowMs = step.nowMs();
        if (nowMs - server.lastTrialAtMs < TRIAL_INTERVAL_MS) {
            return false;
        }
        boolean checkIsDue = nowMs - server.lastHealthCheckAtMs >= TRIAL_INTERVAL_MS;
        if (settings.limits().allowsHealthChecks() && checkIsDue) {
            server.lastHealthCheckAtMs = nowMs;
            step.emit(new CheckHealth(server.id));
        }
        return server.passedLastHealthCheck || nowMs - server.lastTrialAtMs > FAILED_CHECK_DELAY_MS;
    }
}
