package dewplank.balancer.health;

import java.util.HashMap;
import java.util.Map;

/**
 * What one sidecar has observed of one server: recent outcomes by context, its vote, the weight in draws.
 * After "Capturing and enhancing in situ system observability for failure detection" (OSDI '18). Times in ms.
 */
public final class ServerHealth {
    /** The least weight, as a part of the mean: errors halve the weight down to it. */
    public static final double WEIGHT_FLOOR = 0.05;

    private static final double WINDOW_MS = 10_000; // recent observations, as the design has it
    private static final double WEIGHT_STEP = 0.05; // of the mean; each success restores so much
    private static final int UNHEALTHY_FLOOR = 3; // unhealthy ones in the window before any verdict

    private final Map<String, ObservationWindow> contexts = new HashMap<>();
    private double weight = 1;
    private double lastHealthy = Double.NEGATIVE_INFINITY;

    /** Takes the outcome of one request of that context (its class): served; or an error, time-out, reset. */
    public void observe(double now, String context, boolean healthy) {
        contexts.computeIfAbsent(context, c -> new ObservationWindow()).add(now, healthy);
        weight = healthy ? Math.min(1, weight + WEIGHT_STEP) : Math.max(WEIGHT_FLOOR, weight / 2);
        lastHealthy = healthy ? now : lastHealthy;
    }

    /** Served, but so late that it stands as observed before: alive, no more. */
    public void recordLateSuccess(double now) {
        lastHealthy = now;
    }

    /** A new process: what was seen of the old one says nothing of it. */
    public void reset() {
        contexts.clear();
        weight = 1;
    }

    /** This sidecar's vote: whether any context is unhealthy by its latest observation or by a majority. */
    public boolean isUnhealthy(double now) {
        boolean vote = false;
        for (ObservationWindow w : contexts.values()) {
            w.forgetBefore(now - WINDOW_MS);
            // What another context was served since is the server's latest status: some take no trials.
            boolean latest = w.unhealthy > 0 && !w.healthy.peekLast() && w.times.peekLast() > lastHealthy;
            vote |= w.unhealthy >= UNHEALTHY_FLOOR && (latest || 2 * w.unhealthy >= w.healthy.size());
        }
        return vote;
    }

    /** The weight in draws, from the floor to 1. */
    public double weight() {
        return weight;
    }

    /** When a request was last served, or negative infinity. */
    public double lastSuccessAtMs() {
        return lastHealthy;
    }

    /** Whether a request was served within the window. */
    public boolean hasRecentSuccess(double now) {
        return lastHealthy > now - WINDOW_MS;
    }
}
