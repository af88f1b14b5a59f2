package dewplank.routing;

import java.util.ArrayDeque;

/**
 * This data plane's part of the fleet's retry budget for one service, over a sliding window: a ratio of this data
 * plane's own requests, plus its part of a slack that all data planes share. Every attempt of a request after the first
 * is a retry. As in the retry throttling of Finagle and gRPC, retries are limited in proportion to the load, so that
 * a failing service does not receive a multiple of it.
 *
 * <p>Owned and called by the forwarder, on the event loop. No I/O; the caller passes the time with each call, in
 * milliseconds of the loop's clock. The time must not decrease.
 */
public final class RetryBudget {
    /** Number of data planes to pass while the actual number is unknown, so that none of the slack is used. */
    public static final int NO_SLACK = Integer.MAX_VALUE;

    private static final RoutingParameters.RetryBudgetMargins MARGINS = RoutingParameters.DEFAULTS.retryBudget();

    private final double ratio;
    private final double windowMs;
    private final double slack;
    private final ArrayDeque<Double> requestsAtMs = new ArrayDeque<>();
    private final ArrayDeque<Double> retriesAtMs = new ArrayDeque<>();

    /**
     * Creates an unused budget.
     *
     * @param ratio the number of retries allowed per request in the window
     * @param windowMs the length of the window
     * @param slack the number of further retries allowed to all data planes together
     */
    public RetryBudget(double ratio, double windowMs, double slack) {
        this.ratio = ratio;
        this.windowMs = windowMs;
        this.slack = slack;
    }

    /** Records that a client's request for the service arrived. */
    public void recordRequest(double nowMs) {
        requestsAtMs.addLast(nowMs);
        evictExpired(nowMs);
    }

    /**
     * Takes one retry from the budget; returns false and takes nothing if none is left.
     *
     * @param dataPlanes the number of data planes that share the slack, including this one
     */
    public boolean tryAcquire(double nowMs, int dataPlanes) {
        evictExpired(nowMs);
        double allowed = MARGINS.ratioFraction() * ratio * requestsAtMs.size()
                + MARGINS.slackFraction() * slack / Math.max(1, dataPlanes);
        if (retriesAtMs.size() + 1 > allowed) {
            return false;
        }
        retriesAtMs.addLast(nowMs);
        return true;
    }

    /** Counts an attempt that was identified as a retry only after it was sent; this may exceed the budget. */
    public void recordRetry(double nowMs) {
        retriesAtMs.addLast(nowMs);
    }

    private void evictExpired(double nowMs) {
        while (!requestsAtMs.isEmpty() && requestsAtMs.peekFirst() < nowMs - windowMs) {
            requestsAtMs.removeFirst();
        }
        while (!retriesAtMs.isEmpty() && retriesAtMs.peekFirst() < nowMs - MARGINS.windowFactor() * windowMs) {
            retriesAtMs.removeFirst();
        }
    }
}
