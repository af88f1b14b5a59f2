package dewplank.routing;

import java.util.ArrayDeque;

/**
 * This sidecar's part of the fleet's budget of repeated sends to one service: a ratio of its own requests in the
 * window,
 * and its part of the slack. Times in milliseconds.
 */
public final class RetryBudget {
    /** As the number of sidecars: nobody knows how many share the slack, so none of it is used. */
    public static final int NO_SLACK = Integer.MAX_VALUE;

    private static final RoutingParameters.RetryBudgetUse USE = RoutingParameters.DEFAULTS.retryBudget();

    private final double ratio;
    private final double windowMs;
    private final double slack;
    private final ArrayDeque<Double> requests = new ArrayDeque<>();
    private final ArrayDeque<Double> repeats = new ArrayDeque<>();

    public RetryBudget(double ratio, double windowMs, double slack) {
        this.ratio = ratio;
        this.windowMs = windowMs;
        this.slack = slack;
    }

    /** A client's request for the service came. */
    public void recordRequest(double now) {
        requests.addLast(now);
        forget(now);
    }

    /** Takes one repeated send out of the budget; false where none is left. */
    public boolean tryAcquire(double now, int sidecars) {
        forget(now);
        double allowed =
                USE.ratioFraction() * ratio * requests.size() + USE.slackFraction() * slack / Math.max(1, sidecars);
        if (repeats.size() + 1 > allowed) {
            return false;
        }
        repeats.addLast(now);
        return true;
    }

    /** A send turned out to be a repeat after it was made. */
    public void recordRetry(double now) {
        repeats.addLast(now);
    }

    private void forget(double now) {
        while (!requests.isEmpty() && requests.peekFirst() < now - windowMs) {
            requests.removeFirst();
        }
        while (!repeats.isEmpty() && repeats.peekFirst() < now - USE.windowFactor() * windowMs) {
            repeats.removeFirst();
        }
    }
}
