package dewplank.balancer.adaptive;

import dewplank.balancer.Settings;
import dewplank.balancer.Settings.DeduplicationScope;
import dewplank.balancer.Settings.Idempotency;
import dewplank.balancer.Settings.RequestClass;

/**
 * What must hold for every attempt and every rejection, whatever the other decisions want: no effect
 * happens twice, and what is rejected may be retried. Every send passes {@link #allowsAttempt}, every
 * rejection {@link #allowsRejection}.
 */
final class AttemptRules {
    private final Settings settings;
    private final Step step;
    private final EndpointTable endpoints;

    AttemptRules(Settings settings, Step step, EndpointTable endpoints) {
        this.settings = settings;
        this.step = step;
        this.endpoints = endpoints;
    }

    /**
     * Whether the request may be sent to the server now: membership, attempts, hedging, and no second effect.
     */
    boolean allowsAttempt(PendingRequest request, ServerState server) {
        if (request.isOver
                || request.isStreaming
                || !endpoints.isListed(server)
                || request.attempts.size() >= settings.limits().maxAttempts()) {
            return false;
        }
        for (Attempt attempt : request.attempts) {
            boolean isForbiddenHedge =
                    attempt.isInFlight() && !settings.limits().allowsHedging();
            boolean mayHaveRun = attempt.state != Attempt.State.NEVER_RAN;
            if (isForbiddenHedge || mayHaveRun && !allowsRepeat(attempt, server)) {
                return false;
            }
        }
        return true;
    }

    /** Whether what may have run there can be sent to this server without a second effect. */
    private boolean allowsRepeat(Attempt attempt, ServerState server) {
        RequestClass rules = attempt.request.rules();
        boolean sharesDeduplication =
                switch (rules.deduplicationScope()) {
                    case ALL -> true;
                    case ZONE -> attempt.zone.equals(server.endpoint.zone());
                    case CELL -> attempt.cell == server.endpoint.cell();
                };
        double windowMs = rules.deduplicationWindowMs() - settings.tickMs();
        boolean isWithinWindow = step.nowMs() - attempt.sentAtMs <= windowMs;
        boolean isDeduplicated = sharesDeduplication && isWithinWindow;
        boolean isKeyed = rules.idempotency() == Idempotency.KEYED;
        return attempt.request.isSafe() || isKeyed && isDeduplicated;
    }

    /**
     * How long an attempt may wait for its connection: servers drop a repeat only for so long after the first
     * attempt that may have run. Each keyed attempt is bound, since one sent later may be written before it.
     * Infinite where nothing binds.
     */
    double writeWithinMs(PendingRequest request) {
        RequestClass rules = request.rules();
        boolean isKeyed = rules.idempotency() == Idempotency.KEYED;
        double windowMs = isKeyed ? rules.deduplicationWindowMs() - settings.tickMs() : 0;
        double leastMs = Double.POSITIVE_INFINITY;
        for (Attempt attempt : request.attempts) {
            if (windowMs > 0 && attempt.state != Attempt.State.NEVER_RAN) {
                leastMs = Math.min(leastMs, attempt.sentAtMs + windowMs - step.nowMs());
            }
        }
        return leastMs;
    }

    /** Whether the request may be rejected: a rejection promises that a retry is harmless. */
    boolean allowsRejection(PendingRequest request) {
        RequestClass rules = request.rules();
        boolean isKeyed = rules.idempotency() == Idempotency.KEYED;
        boolean isKeyedEverywhere = isKeyed && rules.deduplicationScope() == DeduplicationScope.ALL;
        return request.isSafe() || isKeyedEverywhere || request.attemptsThatMayHaveRun() == 0;
    }
}
