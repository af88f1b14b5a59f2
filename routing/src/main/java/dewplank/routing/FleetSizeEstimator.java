package dewplank.routing;

/**
 * Estimates how many data planes share a retry budget. The estimate may be too high but should not be too low: while
 * sessions are reopened after a restart of control planes, and on each side of a partition, the membership is
 * incomplete, but the missing data planes continue to send requests. The estimate is therefore the largest recent
 * number.
 *
 * <p>Owned and called by the forwarder, on the event loop. No I/O; the caller passes the time with each call, in
 * milliseconds of the loop's clock.
 */
public final class FleetSizeEstimator {
    private static final RoutingParameters.FleetSizing SIZING = RoutingParameters.DEFAULTS.fleetSize();

    private final double settleMs;
    private final double retentionMs;
    private boolean hasMembership;
    private double firstMembershipAtMs;
    private int latestCount;
    private int largestCount;
    private double largestAtMs;

    /** Creates an estimator for a budget with a window of this length. */
    public FleetSizeEstimator(double windowMs) {
        this.settleMs = SIZING.settleFraction() * windowMs;
        this.retentionMs = SIZING.retainedWindows() * windowMs;
    }

    /** Records the number of data planes in the newest membership; 0 means unknown and is ignored. */
    public void recordMembership(double nowMs, int dataPlanes) {
        if (dataPlanes == 0) {
            return;
        }
        if (!hasMembership) {
            hasMembership = true;
            firstMembershipAtMs = nowMs;
        }
        refreshLargest(nowMs);
        latestCount = dataPlanes;
        refreshLargest(nowMs);
    }

    /** Whether the estimate is reliable; none of the slack may be used before that. */
    public boolean isSettled(double nowMs) {
        return hasMembership && nowMs - firstMembershipAtMs >= settleMs;
    }

    /** The largest recent number of data planes; 0 before the first membership. */
    public int dataPlanes(double nowMs) {
        refreshLargest(nowMs);
        return largestCount;
    }

    private void refreshLargest(double nowMs) {
        if (latestCount >= largestCount || nowMs - largestAtMs > retentionMs) {
            largestCount = latestCount;
            largestAtMs = nowMs;
        }
    }
}
