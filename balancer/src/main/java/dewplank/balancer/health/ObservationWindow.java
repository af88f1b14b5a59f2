package dewplank.balancer.health;

import java.util.ArrayDeque;

/** The recent observations of one server in one context, oldest first. */
final class ObservationWindow {
    private final ArrayDeque<Double> timesMs = new ArrayDeque<>();
    private final ArrayDeque<Boolean> outcomes = new ArrayDeque<>();
    private int unhealthyCount;

    void add(double atMs, boolean isHealthy) {
        timesMs.addLast(atMs);
        outcomes.addLast(isHealthy);
        unhealthyCount += isHealthy ? 0 : 1;
    }

    void removeBefore(double sinceMs) {
        while (!timesMs.isEmpty() && timesMs.peekFirst() < sinceMs) {
            timesMs.removeFirst();
            unhealthyCount -= outcomes.removeFirst() ? 0 : 1;
        }
    }

    int size() {
        return outcomes.size();
    }

    int unhealthyCount() {
        return unhealthyCount;
    }

    boolean latestIsUnhealthy() {
        return unhealthyCount > 0 && !outcomes.peekLast();
    }

    /** The window must not be empty. */
    double latestAtMs() {
        return timesMs.peekLast();
    }
}
