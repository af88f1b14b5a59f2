package dewplank.routing;

import dewplank.balancer.health.ServerHealth;
import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.Map;

/**
 * The outcomes of this data plane's requests to one server within a sliding window, by request class. Written by
 * {@link ServerPicker#recordOutcome}, read by {@link HealthVotes} and by the sender of health summaries, all on the
 * event loop. No I/O; the caller passes the time with each call, in milliseconds of the loop's clock.
 *
 * <p>The criteria for an unhealthy server are those of {@link ServerHealth}, which also computes the draw weight. The
 * only difference is that the caller passes the minimum number of failures, because {@link HealthVotes} counts the
 * failures of the whole fleet.
 */
public final class OutcomeWindow {
    private static final RoutingParameters.Ejection EJECTION = RoutingParameters.DEFAULTS.ejection();

    private record Outcome(double atMs, boolean healthy) {}

    private final ServerHealth health = new ServerHealth();
    private final Map<String, ArrayDeque<Outcome>> outcomesByClass = new HashMap<>();
    private double lastFailureAtMs = Double.NEGATIVE_INFINITY;

    /**
     * Records the outcome of one request.
     *
     * @param requestClass the class of the request: the name of its route
     * @param healthy whether the server handled the request without a failure of its own
     */
    public void record(double nowMs, String requestClass, boolean healthy) {
        health.observe(nowMs, requestClass, healthy);
        outcomesByClass
                .computeIfAbsent(requestClass, name -> new ArrayDeque<>())
                .addLast(new Outcome(nowMs, healthy));
        lastFailureAtMs = healthy ? lastFailureAtMs : nowMs;
    }

    /**
     * Whether a class with at least this number of failures is unhealthy: its newest outcome is a failure and the
     * server has served no request of any class since, or at least half of its outcomes are failures.
     */
    boolean isUnhealthy(double nowMs, int minFailures) {
        evictExpired(nowMs);
        for (ArrayDeque<Outcome> outcomes : outcomesByClass.values()) {
            long failures = failures(outcomes);
            Outcome newest = outcomes.peekLast();
            boolean newestFailed = newest != null && !newest.healthy() && newest.atMs() > lastSuccessAtMs();
            if (failures >= minFailures && (newestFailed || 2 * failures >= outcomes.size())) {
                return true;
            }
        }
        return false;
    }

    /** Whether the server is unhealthy with a minimum of one failure, so that a summary lists it as suspected. */
    public boolean isSuspected(double nowMs) {
        return lastFailureAtMs >= nowMs - EJECTION.outcomeWindowMs() && isUnhealthy(nowMs, 1);
    }

    /** The number of requests of all classes that failed within the window. */
    public int failureCount(double nowMs) {
        evictExpired(nowMs);
        long count = 0;
        for (ArrayDeque<Outcome> outcomes : outcomesByClass.values()) {
            count += failures(outcomes);
        }
        return (int) count;
    }

    private static long failures(ArrayDeque<Outcome> outcomes) {
        long count = 0;
        for (Outcome outcome : outcomes) {
            count += outcome.healthy() ? 0 : 1;
        }
        return count;
    }

    private void evictExpired(double nowMs) {
        double windowStartMs = nowMs - EJECTION.outcomeWindowMs();
        for (ArrayDeque<Outcome> outcomes : outcomesByClass.values()) {
            while (!outcomes.isEmpty() && outcomes.peekFirst().atMs() < windowStartMs) {
                outcomes.removeFirst();
            }
        }
        outcomesByClass.values().removeIf(ArrayDeque::isEmpty);
    }

    /** When a request last failed; negative infinity before the first. */
    public double lastFailureAtMs() {
        return lastFailureAtMs;
    }

    /** When a request was last served; negative infinity before the first. */
    public double lastSuccessAtMs() {
        return health.lastSuccessAtMs();
    }

    /** The weight in random draws, from a floor up to 1. */
    double weight() {
        return health.weight();
    }
}
