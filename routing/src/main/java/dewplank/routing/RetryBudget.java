package dewplank.routing;

import java.util.ArrayDeque;

/**
 * This data plane's part of the fleet's budget of retries to one service, over a sliding window: a ratio of its own
 * requests, and its part of a slack that all data planes share. A retry is every send of a request beyond its first.
 * The idea is that of Finagle's and gRPC's retry throttling: retries are bounded by the load, so that a failing service
 * is not sent a multiple of it.
 *
 * <p>Owned and called by the forwarder, on the event loop. No I/O; time is given with each call, in milliseconds of the
 * loop's clock, and does not go back.
 */
public final class RetryBudget {
    /** As the number of data planes while it is not known: none of the slack is used. */
    public static final int NO_SLACK = Integer.MAX_VALUE;

    private static final RoutingParameters.RetryBudgetUse USE = RoutingParameters.DEFAULTS.retryBudget();

    private final double ratio;
    private final double windowMs;
    private final double slack;
    private final ArrayDeque<Double> requestsAtMs = new ArrayDeque<>();
    private final ArrayDeque<Double> retriesAtMs = new ArrayDeque<>();

    /**
     * An unused budget.
     *
     * @param ratio retries allowed for each request in the window
     * @param windowMs the window's length
     * @param slack retries allowed besides, by all data planes together
     */
    public RetryBudget(double ratio, double windowMs, double slack) {
        this.ratio = ratio;
        this.windowMs = windowMs;
        this.slack = slack;
    }

    /** A client's request for the service arrived. */
    public void recordRequest(double nowMs) {
        requestsAtMs.addLast(nowMs);
        evictExpired(nowMs);
    }

    /**
     * Takes one retry out of the budget; false, and nothing is taken, where none is left.
     *
     * @param dataPlanes how many share the slack, this one among them
     */
    public boolean tryAcquire(double nowMs, int dataPlanes) {
        evictExpired(nowMs);
        double allowed = USE.ratioFraction() * ratio * requestsAtMs.size()
                + USE.slackFraction() * slack / Math.max(1, dataPlanes);
        if (retriesAtMs.size() + 1 > allowed) {
            return false;
        }
        retriesAtMs.addLast(nowMs);
        return true;
    }

    /** Counts a send that turned out to be a retry after it was made; the budget may be overdrawn by it. */
    public void recordRetry(double nowMs) {
        retriesAtMs.addLast(nowMs);
    }

    private void evictExpired(double nowMs) {
        while (!requestsAtMs.isEmpty() && requestsAtMs.peekFirst() < nowMs - windowMs) {
            requestsAtMs.removeFirst();
        }
        while (!retriesAtMs.isEmpty() && retriesAtMs.peekFirst() < nowMs - USE.windowFactor() * windowMs) {
            retriesAtMs.removeFirst();
        }
    }
}
