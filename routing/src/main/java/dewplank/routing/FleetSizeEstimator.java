package dewplank.routing;

/**
 * How many data planes share the budget of repeated sends, never too few: the list of members is short while sessions
 * are opened anew, after a restart of control planes and on each side of a cut, and whoever is missing from it still
 * sends. Times in milliseconds.
 */
public final class FleetSizeEstimator {
    private static final RoutingParameters.FleetSizing SIZING = RoutingParameters.DEFAULTS.fleetSize();

    private final double settleMs;
    private final double rememberedMs;
    private boolean known;
    private double knownSince;
    private int latest;
    private int largest;
    private double largestAt;

    /** For a budget over windows of that length. */
    public FleetSizeEstimator(double windowMs) {
        this.settleMs = SIZING.settleFraction() * windowMs;
        this.rememberedMs = SIZING.retainedWindows() * windowMs;
    }

    /** The newest list names so many data planes; an empty one says nothing. */
    public void recordMembership(double now, int dataPlanes) {
        if (dataPlanes == 0) {
            return;
        }
        if (!known) {
            known = true;
            knownSince = now;
        }
        look(now);
        latest = dataPlanes;
        look(now);
    }

    /** Whether the number can be relied on: before, no part of what all share may be used. */
    public boolean isSettled(double now) {
        return known && now - knownSince >= settleMs;
    }

    /** The largest number that was told lately. */
    public int dataPlanes(double now) {
        look(now);
        return largest;
    }

    private void look(double now) {
        if (latest >= largest || now - largestAt > rememberedMs) {
            largest = latest;
            largestAt = now;
        }
    }
}
