package dewplank.routing;

/**
 * How many data planes share a retry budget, rather too many than too few: the membership is short while sessions are
 * opened anew after a restart of control planes, and on each side of a partition, but who is missing from it goes on
 * sending. So the largest number of the recent past counts.
 *
 * <p>Owned and called by the forwarder, on the event loop. No I/O; time is given with each call, in milliseconds of the
 * loop's clock.
 */
public final class FleetSizeEstimator {
    private static final RoutingParameters.FleetSizing SIZING = RoutingParameters.DEFAULTS.fleetSize();

    private final double settleMs;
    private final double retainedMs;
    private boolean hasMembership;
    private double firstMembershipAtMs;
    private int latest;
    private int largest;
    private double largestAtMs;

    /** An estimate for a budget over windows of that length. */
    public FleetSizeEstimator(double windowMs) {
        this.settleMs = SIZING.settleFraction() * windowMs;
        this.retainedMs = SIZING.retainedWindows() * windowMs;
    }

    /** The newest membership has so many data planes; 0 says nothing and changes nothing. */
    public void recordMembership(double nowMs, int dataPlanes) {
        if (dataPlanes == 0) {
            return;
        }
        if (!hasMembership) {
            hasMembership = true;
            firstMembershipAtMs = nowMs;
        }
        refreshLargest(nowMs);
        latest = dataPlanes;
        refreshLargest(nowMs);
    }

    /** Whether the number can be relied on; until then none of the slack may be used. */
    public boolean isSettled(double nowMs) {
        return hasMembership && nowMs - firstMembershipAtMs >= settleMs;
    }

    /** The largest number of the recent past; 0 before the first membership. */
    public int dataPlanes(double nowMs) {
        refreshLargest(nowMs);
        return largest;
    }

    private void refreshLargest(double nowMs) {
        if (latest >= largest || nowMs - largestAtMs > retainedMs) {
            largest = latest;
            largestAtMs = nowMs;
        }
    }
}
