package dewplank.routing;

import dewplank.balancer.health.ServerHealth;
import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.Map;

/**
 * What this data plane has observed of one server, as it judges by it and as it tells its peers. The tests are those of
 * {@link ServerHealth}, which has the weight too; but the number of failures that a verdict needs is the caller's, as
 * where those of the whole fleet are counted.
 */
public final class OutcomeWindow {

    private static final double WINDOW_MS =
            RoutingParameters.DEFAULTS.ejection().outcomeWindowMs();

    private record Outcome(double at, boolean healthy) {}

    private final ServerHealth health = new ServerHealth();
    private final Map<String, ArrayDeque<Outcome>> contexts = new HashMap<>();
    private double lastFailureAtMs = Double.NEGATIVE_INFINITY;

    /** Takes the outcome of one request of that context (its class). */
    public void record(double now, String context, boolean healthy) {
        health.observe(now, context, healthy);
        contexts.computeIfAbsent(context, c -> new ArrayDeque<>()).addLast(new Outcome(now, healthy));
        lastFailureAtMs = healthy ? lastFailureAtMs : now;
    }

    /**
     * Whether any context with so many failures or more is unhealthy: by its latest outcome, unless the server served
     * another context since, or as healthy ones lack a majority.
     */
    boolean isUnhealthy(double now, int floor) {
        forgetOld(now);
        for (ArrayDeque<Outcome> window : contexts.values()) {
            long failures = failureCount(window);
            Outcome latest = window.peekLast();
            boolean lastFailed = latest != null && !latest.healthy() && latest.at() > lastSuccessAtMs();
            if (failures >= floor && (lastFailed || 2 * failures >= window.size())) {
                return true;
            }
        }
        return false;
    }

    /** The same, however few failures there are. */
    public boolean isSuspect(double now) {
        return lastFailureAtMs >= now - WINDOW_MS && isUnhealthy(now, 1);
    }

    /** Requests that failed within the window. */
    public int failureCount(double now) {
        forgetOld(now);
        return (int) contexts.values().stream()
                .mapToLong(OutcomeWindow::failureCount)
                .sum();
    }

    private static long failureCount(ArrayDeque<Outcome> window) {
        return window.stream().filter(o -> !o.healthy()).count();
    }

    private void forgetOld(double now) {
        for (ArrayDeque<Outcome> window : contexts.values()) {
            while (!window.isEmpty() && window.peekFirst().at() < now - WINDOW_MS) {
                window.removeFirst();
            }
        }
        contexts.values().removeIf(ArrayDeque::isEmpty);
    }

    /** When a request last failed, or negative infinity. */
    public double lastFailureAtMs() {
        return lastFailureAtMs;
    }

    /** When a request was last served, or negative infinity. */
    public double lastSuccessAtMs() {
        return health.lastSuccessAtMs();
    }

    /** The weight in draws, from a floor to 1. */
    double weight() {
        return health.weight();
    }
}
