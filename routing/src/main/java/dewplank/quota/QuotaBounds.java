package dewplank.quota;

/**
 * The bounds, set by operators, on how far a tenant may exceed its limit. Within any window of length {@code w} at most
 * {@code (r w + b)(1 + overshoot) + slack} requests of a tenant with rate {@code r} and burst {@code b} may be served.
 * Immutable; the same on all machines.
 *
 * @param windowMs the length of the window
 * @param overshoot the excess that is allowed, as a fraction of the limit
 * @param slack the number of further requests that may be served in each window
 */
public record QuotaBounds(double windowMs, double overshoot, double slack) {
    private static final double DRIFT = ShareLease.MAX_CLOCK_DRIFT;
    /**
     * Minimum lifetime of a token. It covers a round trip to a control plane and one between control planes; with a
     * shorter lifetime most tokens would have expired on arrival.
     */
    private static final double MIN_TOKEN_LIFETIME_MS = 100;
    /**
     * Fraction of the slack that is added to the capacity of the buckets. The rest is a reserve for what the proof of
     * the bound does not cover.
     */
    private static final double SLACK_FRACTION = 1.0 / 2;

    /**
     * How long a data plane may use a token after it requested it. The overshoot has to cover this lifetime as well as
     * the clock drift, which makes buckets fill too fast and lifetimes end too late.
     */
    public double tokenLifetimeMs() {
        return Math.max(MIN_TOKEN_LIFETIME_MS, lifetimeWithinOvershootMs());
    }

    private double lifetimeWithinOvershootMs() {
        return windowMs * ((1 + overshoot) / (1 + DRIFT) - 1) * (1 - DRIFT);
    }

    /**
     * The fraction of a limit's rate at which buckets fill: 1 unless the overshoot does not cover the minimum lifetime.
     */
    double rateFraction() {
        if (lifetimeWithinOvershootMs() >= MIN_TOKEN_LIFETIME_MS) {
            return 1;
        }
        double longestSpanMs = windowMs + MIN_TOKEN_LIFETIME_MS / (1 - DRIFT);
        return windowMs * (1 + overshoot) / (longestSpanMs * (1 + DRIFT));
    }

    /** The capacity of all buckets of a tenant together beyond its burst, in tokens. */
    public double extraCapacity() {
        return slack * SLACK_FRACTION;
    }
}
