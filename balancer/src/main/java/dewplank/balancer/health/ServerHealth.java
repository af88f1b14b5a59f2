package dewplank.balancer.health;

import java.util.HashMap;
import java.util.Map;

/**
 * The observations that one process has made of one server: recent outcomes by context, the resulting vote,
 * and the server's weight in draws.
 *
 * <p>Based on "Capturing and Enhancing In Situ System Observability for Failure Detection" (Huang et al.,
 * OSDI '18). Times are in milliseconds of one monotonic clock. Not thread-safe: all calls come from the
 * owner's thread.
 */
public final class ServerHealth {
    /**
     * The minimum weight, relative to the full weight of 1. Each unhealthy outcome halves the weight down
     * to it.
     */
    public static final double WEIGHT_FLOOR = 0.05;

    private static final double WINDOW_MS = 10_000; // older observations do not count
    private static final double WEIGHT_STEP = 0.05; // added to the weight by each success

    /** Minimum number of unhealthy outcomes in the window; fewer are not enough evidence. */
    private static final int MIN_UNHEALTHY = 3;

    private final Map<String, ObservationWindow> contexts = new HashMap<>();
    private double weight = 1;
    private double lastSuccessAtMs = Double.NEGATIVE_INFINITY;

    /**
     * Records the outcome of one request.
     *
     * @param context the request's class; each class is evaluated separately
     * @param isHealthy whether the request was served; false for an error, a timeout or a reset
     */
    public void observe(double nowMs, String context, boolean isHealthy) {
        contexts.computeIfAbsent(context, name -> new ObservationWindow()).add(nowMs, isHealthy);
        weight = isHealthy ? Math.min(1, weight + WEIGHT_STEP) : Math.max(WEIGHT_FLOOR, weight / 2);
        lastSuccessAtMs = isHealthy ? nowMs : lastSuccessAtMs;
    }

    /**
     * Records a request that was served late and has already been recorded as unhealthy. It only shows that
     * the server is alive.
     */
    public void recordLateSuccess(double nowMs) {
        lastSuccessAtMs = nowMs;
    }

    /**
     * Discards the observations after a restart of the server, because they describe the previous process.
     */
    public void reset() {
        contexts.clear();
        weight = 1;
    }

    /**
     * This process's vote: the server is unhealthy if any context has at least {@code MIN_UNHEALTHY}
     * unhealthy outcomes, and they include the latest outcome or are at least half of all outcomes.
     */
    public boolean isUnhealthy(double nowMs) {
        boolean vote = false;
        for (ObservationWindow window : contexts.values()) {
            window.removeBefore(nowMs - WINDOW_MS);
            // A later success in another context counts too, because some contexts send no trials.
            boolean latestIsUnhealthy = window.latestIsUnhealthy() && window.latestAtMs() > lastSuccessAtMs;
            boolean isMajority = 2 * window.unhealthyCount() >= window.size();
            vote |= window.unhealthyCount() >= MIN_UNHEALTHY && (latestIsUnhealthy || isMajority);
        }
        return vote;
    }

    /** The server's weight in draws, from {@link #WEIGHT_FLOOR} to 1. */
    public double weight() {
        return weight;
    }

    /** The time of the latest served request, or negative infinity. */
    public double lastSuccessAtMs() {
        return lastSuccessAtMs;
    }

    /** Whether a request was served within the window. */
    public boolean hasRecentSuccess(double nowMs) {
        return lastSuccessAtMs > nowMs - WINDOW_MS;
    }
}
