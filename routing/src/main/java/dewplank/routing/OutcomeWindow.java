package dewplank.routing;

import dewplank.balancer.ServerHealth;
import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.Map;

/**
 * What this data plane has observed of one server, as it judges by it and as it tells its peers. The tests are those of
 * {@link ServerHealth}, which has the weight too; but the number of failures that a verdict needs is the caller's, as
 * where those of the whole fleet are counted.
 */
public final class OutcomeWindow {
    /** Unhealthy ones in the window before any verdict, as the design has it. */
    static final int FAILURES_FLOOR = 3;

    private static final double WINDOW_MS = 10_000; // recent observations, as the design has it

    private record Outcome(double at, boolean healthy) {}

    private final ServerHealth health = new ServerHealth();
    private final Map<String, ArrayDeque<Outcome>> contexts = new HashMap<>();
    private double lastFailure = Double.NEGATIVE_INFINITY;

    /** Takes the outcome of one request of that context (its class). */
    public void observe(double now, String context, boolean healthy) {
        health.observe(now, context, healthy);
        contexts.computeIfAbsent(context, c -> new ArrayDeque<>()).addLast(new Outcome(now, healthy));
        lastFailure = healthy ? lastFailure : now;
    }

    /**
     * Whether any context with so many failures or more is unhealthy: by its latest outcome, unless the server served
     * another context since, or as healthy ones lack a majority.
     */
    boolean unhealthy(double now, int floor) {
        forgetOld(now);
        for (ArrayDeque<Outcome> window : contexts.values()) {
            long failures = failures(window);
            Outcome latest = window.peekLast();
            boolean lastFailed = latest != null && !latest.healthy() && latest.at() > lastServed();
            if (failures >= floor && (lastFailed || 2 * failures >= window.size())) {
                return true;
            }
        }
        return false;
    }

    /** The same, however few failures there are. */
    public boolean suspect(double now) {
        return lastFailure >= now - WINDOW_MS && unhealthy(now, 1);
    }

    /** Requests that failed within the window. */
    public int failures(double now) {
        forgetOld(now);
        return (int)
                contexts.values().stream().mapToLong(OutcomeWindow::failures).sum();
    }

    private static long failures(ArrayDeque<Outcome> window) {
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
    public double lastFailure() {
        return lastFailure;
    }

    /** When a request was last served, or negative infinity. */
    public double lastServed() {
        return health.lastHealthy();
    }

    /** The weight in draws, from a floor to 1. */
    double weight() {
        return health.weight();
    }
}
