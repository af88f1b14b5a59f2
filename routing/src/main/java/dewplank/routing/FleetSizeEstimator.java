package dewplank.routing;

/**
 * How many data planes share the budget of repeated sends, never too few: the list of members is short while sessions
 * are opened anew, after a restart of control planes and on each side of a cut, and whoever is missing from it still
 * sends. Times in milliseconds.
 */
public final class FleetSizeEstimator {
    /**
     * Of the budget's window: within it, after the first list of a life, no part of the slack is used. Sessions that
     * broke off together stand again, and are told, after a dial's time-out, a pause and a beat: 1.5 s of a window of
     * 10 s.
     */
    private static final double SETTLE_PART = 0.3;
    /**
     * Of the budget's window: a larger number holds for so long after it was last told. One window would do for sends;
     * the rest covers cuts and restarts, in which the missing go on sending.
     */
    private static final double REMEMBERED_WINDOWS = 6;

    private final double settleMs;
    private final double rememberedMs;
    private boolean known;
    private double knownSince;
    private int latest;
    private int largest;
    private double largestAt;

    /** For a budget over windows of that length. */
    public FleetSizeEstimator(double windowMs) {
        this.settleMs = SETTLE_PART * windowMs;
        this.rememberedMs = REMEMBERED_WINDOWS * windowMs;
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
