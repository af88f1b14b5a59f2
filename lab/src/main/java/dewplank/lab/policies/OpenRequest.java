package dewplank.lab.policies;

import dewplank.balancer.Event.RequestArrived;
import dewplank.balancer.Outcome;
import dewplank.balancer.Settings.DeduplicationScope;
import dewplank.balancer.Settings.Idempotency;
import dewplank.balancer.Settings.RequestClass;
import java.util.HashSet;
import java.util.Set;

/** A request that has no answer yet, with its attempts. */
final class OpenRequest {
    /** No retry is begun with less time left. */
    private static final double MIN_ATTEMPT_MS = 1;

    private final long id;
    private final RequestClass requestClass;
    private final double deadlineMs;
    private final Set<String> triedServers = new HashSet<>(4);
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
        triedServers.add(server);
        if (Double.isNaN(firstSentAtMs)) {
            firstSentAtMs = nowMs;
        }
    }

    void attemptEnded(Outcome outcome) {
        boolean neverRan =
                outcome == Outcome.REJECTED || outcome == Outcome.CONNECT_FAILED || outcome == Outcome.NEVER_SENT;
        mayHaveRun |= !neverRan;
    }

    /** Whether a further attempt can have no second effect. */
    boolean mayRetry(double nowMs) {
        if (!mayHaveRun || requestClass.idempotency() == Idempotency.SAFE) {
            return true;
        }
        return requestClass.idempotency() == Idempotency.KEYED
                && requestClass.deduplicationScope() == DeduplicationScope.ALL
                && nowMs - firstSentAtMs < requestClass.deduplicationWindowMs();
    }

    /** Whether it may be rejected, which tells the client that it never ran or may be repeated. */
    boolean mayReject() {
        return !mayHaveRun || requestClass.idempotency() == Idempotency.SAFE;
    }

    boolean hasTried(String server) {
        return triedServers.contains(server);
    }

    boolean hasTriedAny() {
        return !triedServers.isEmpty();
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

    double leftMs(double nowMs) {
        return deadlineMs - nowMs;
    }
}
