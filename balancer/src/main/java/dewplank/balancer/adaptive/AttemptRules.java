package dewplank.balancer.adaptive;

import dewplank.balancer.Settings;
import dewplank.balancer.Settings.DeduplicationScope;
import dewplank.balancer.Settings.Idempotency;
import dewplank.balancer.Settings.RequestClass;

/**
 * Invariants of every attempt and every rejection, which the other decisions cannot override: no effect
 * happens twice, and a rejected request may be retried. Every send is checked by {@link #allowsAttempt},
 * every rejection by {@link #allowsRejection}.
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
     * Whether the request may be sent to the server now: checks that the server is listed, that the request
     * has attempts left, that it is hedged only if hedging is allowed, and that no second effect is
     * possible.
     */
    boolean allowsAttempt(PendingRequest request, ServerState server) {
        if (request.isComplete
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

    /** Whether a repeat of this attempt at the server cannot have a second effect. */
    private boolean allowsRepeat(Attempt attempt, ServerState server) {
        RequestClass requestClass = attempt.request.requestClass();
        boolean sharesDeduplication =
                switch (requestClass.deduplicationScope()) {
                    case ALL -> true;
                    case ZONE -> attempt.zone.equals(server.endpoint.zone());
                    case CELL -> attempt.cell == server.endpoint.cell();
                };
        double windowMs = requestClass.deduplicationWindowMs() - settings.tickMs();
        boolean isWithinWindow = step.nowMs() - attempt.sentAtMs <= windowMs;
        boolean isDeduplicated = sharesDeduplication && isWithinWindow;
        boolean isKeyed = requestClass.idempotency() == Idempotency.KEYED;
        return attempt.request.isSafe() || isKeyed && isDeduplicated;
    }

    /**
     * The time within which an attempt must be written, which includes waiting for a connection: servers
     * drop a repeat only within the deduplication window of the first attempt that may have run. The limit
     * applies to every keyed attempt, also to the first, because a later attempt may be written before it.
     * Infinite if there is no limit.
     */
    double writeWithinMs(PendingRequest request) {
        RequestClass requestClass = request.requestClass();
        boolean isKeyed = requestClass.idempotency() == Idempotency.KEYED;
        double windowMs = isKeyed ? requestClass.deduplicationWindowMs() - settings.tickMs() : 0;
        double minMs = Double.POSITIVE_INFINITY;
        for (Attempt attempt : request.attempts) {
            if (windowMs > 0 && attempt.state != Attempt.State.NEVER_RAN) {
                minMs = Math.min(minMs, attempt.sentAtMs + windowMs - step.nowMs());
            }
        }
        return minMs;
    }

    /** Whether the request may be rejected: a rejection promises the client that a retry is harmless. */
    boolean allowsRejection(PendingRequest request) {
        RequestClass requestClass = request.requestClass();
        boolean isKeyed = requestClass.idempotency() == Idempotency.KEYED;
        boolean isKeyedEverywhere = isKeyed && requestClass.deduplicationScope() == DeduplicationScope.ALL;
        return request.isSafe() || isKeyedEverywhere || request.attemptsThatMayHaveRun() == 0;
    }
}
