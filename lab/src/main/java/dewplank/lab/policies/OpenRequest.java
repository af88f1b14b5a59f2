package dewplank.lab.policies;

import dewplank.balancer.Event.RequestArrived;
import dewplank.balancer.Outcome;
import dewplank.balancer.Settings.DeduplicationScope;
import dewplank.balancer.Settings.Idempotency;
import dewplank.balancer.Settings.RequestClass;
import java.util.HashSet;
import java.util.Set;

/** A request that has no response yet, and its attempts so far. */
final class OpenRequest {
    /** The minimum time remaining before the deadline when a retry starts. */
    private static final double MIN_ATTEMPT_MS = 1;

    private final long id;
    private final RequestClass requestClass;
    private final double deadlineMs;
    private final Set<String> attemptedServers = new HashSet<>(4);
    private int attempts;
    private boolean mayHaveRun;
    private double firstSentAtMs = Double.NaN;

    OpenRequest(RequestArrived arrived, RequestClass requestClass, double nowMs) {
        this.id = arrived.request();
        this.requestClass = requestClass;
        this.deadlineMs = nowMs + arrived.budgetMs();
    }

    void attemptStarted(String server, double nowMs) {
        attempts++;
        attemptedServers.add(server);
        if (Double.isNaN(firstSentAtMs)) {
            firstSentAtMs = nowMs;
        }
    }

    void attemptEnded(Outcome outcome) {
        boolean neverRan =
                outcome == Outcome.REJECTED || outcome == Outcome.CONNECT_FAILED || outcome == Outcome.NEVER_SENT;
        mayHaveRun |= !neverRan;
    }

    /** Whether a further attempt cannot cause a second effect. */
    boolean mayRetry(double nowMs) {
        if (!mayHaveRun || requestClass.idempotency() == Idempotency.SAFE) {
            return true;
        }
        return requestClass.idempotency() == Idempotency.KEYED
                && requestClass.deduplicationScope() == DeduplicationScope.ALL
                && nowMs - firstSentAtMs < requestClass.deduplicationWindowMs();
    }

    /** Whether the request may be rejected, which informs the client that it never ran or may be retried. */
    boolean mayReject() {
        return !mayHaveRun || requestClass.idempotency() == Idempotency.SAFE;
    }

    boolean hasAttempted(String server) {
        return attemptedServers.contains(server);
    }

    boolean hasAnyAttempt() {
        return !attemptedServers.isEmpty();
    }

    long id() {
        return id;
    }

    RequestClass requestClass() {
        return requestClass;
    }

    int attempts() {
        return attempts;
    }

    boolean hasTimeForAttempt(double nowMs) {
        return nowMs < deadlineMs - MIN_ATTEMPT_MS;
    }

    double remainingMs(double nowMs) {
        return deadlineMs - nowMs;
    }
}
