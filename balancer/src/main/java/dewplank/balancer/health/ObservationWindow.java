package dewplank.balancer.health;

import java.util.ArrayDeque;

/** What {@link ServerHealth} remembers of one context, newest last. */
final class ObservationWindow {
    final ArrayDeque<Double> times = new ArrayDeque<>();
    final ArrayDeque<Boolean> healthy = new ArrayDeque<>();
    int unhealthy;

    void add(double at, boolean ok) {
        times.addLast(at);
        healthy.addLast(ok);
        unhealthy += ok ? 0 : 1;
    }

    void forgetBefore(double since) {
        while (!times.isEmpty() && times.peekFirst() < since) {
            times.removeFirst();
            unhealthy -= healthy.removeFirst() ? 0 : 1;
        }
    }
}
