package dewplank.balancer.health;

import java.util.HashMap;
import java.util.Map;

/**
 * What one process has observed of one server: recent outcomes by context, its vote, and the weight in
 * draws.
 *
 * <p>After "Capturing and Enhancing In Situ System Observability for Failure Detection" (Huang et al., OSDI
 * '18). Times are in milliseconds of one clock that never goes back. Not thread-safe: its owner's thread
 * makes all calls.
 */
public final class ServerHealth {
    /** The least weight, as a part of the mean: errors halve the weight down to it. */
    public static final double WEIGHT_FLOOR = 0.05;

    private static final double WINDOW_MS = 10_000; // recent observations
    private static final double WEIGHT_STEP = 0.05; // of the mean; each success restores so much
    private static final int MIN_UNHEALTHY = 3; // unhealthy ones in the window before any verdict

    private final Map<String, ObservationWindow> contexts = new HashMap<>();
    private double weight = 1;
    private double lastSuccessAtMs = Double.NEGATIVE_INFINITY;

    /**
     * Takes the outcome of one request.
     *
     * @param context the request's class; each is judged by itself
     * @param isHealthy whether it was served; false: an error, a time-out or a reset
     */
    public void observe(double nowMs, String context, boolean isHealthy) {
        contexts.computeIfAbsent(context, name -> new ObservationWindow()).add(nowMs, isHealthy);
        weight = isHealthy ? Math.min(1, weight + WEIGHT_STEP) : Math.max(WEIGHT_FLOOR, weight / 2);
        lastSuccessAtMs = isHealthy ? nowMs : lastSuccessAtMs;
    }

    /** A request was served, but so late that it stands as observed before: the server is alive, no more. */
    public void recordLateSuccess(double nowMs) {
        lastSuccessAtMs = nowMs;
    }

    /** The server is a new process: what was seen of the old one says nothing of it. */
    public void reset() {
        contexts.clear();
        weight = 1;
    }

    /** This process's vote: whether any context is unhealthy by its latest observation or by a majority. */
    public boolean isUnhealthy(double nowMs) {
        boolean vote = false;
        for (ObservationWindow window : contexts.values()) {
            window.removeBefore(nowMs - WINDOW_MS);
            // What another context was served since is the server's latest status: some take no trials.
            boolean latestIsUnhealthy = window.latestIsUnhealthy() && window.latestAtMs() > lastSuccessAtMs;
            boolean isMajority = 2 * window.unhealthyCount() >= window.size();
            vote |= window.unhealthyCount() >= MIN_UNHEALTHY && (latestIsUnhealthy || isMajority);
        }
        return vote;
    }

    /** The weight in draws, from the floor to 1. */
    public double weight() {
        return weight;
    }

    /** When a request was last served, or negative infinity. */
    public double lastSuccessAtMs() {
        return lastSuccessAtMs;
    }

    /** Whether a request was served within the window. */
    public boolean hasRecentSuccess(double nowMs) {
        return lastSuccessAtMs > nowMs - WINDOW_MS;
    }
}
