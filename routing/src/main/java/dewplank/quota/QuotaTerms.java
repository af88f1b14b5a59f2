package dewplank.quota;

/**
 * The operators' bounds on what tenants are served beyond their limits. Within any window of length {@code w} a tenant
 * with rate {@code r} and burst {@code b} may be served {@code (r w + b)(1 + overshoot) + slack} requests. Immutable;
 * the same on all machines.
 *
 * @param windowMs the length of the window
 * @param overshoot the fraction of a limit that may be served beyond it
 * @param slack requests that may be served besides in each window
 */
public record QuotaTerms(double windowMs, double overshoot, double slack) {
    private static final double DRIFT = ShareLease.MAX_CLOCK_DRIFT;
    /** A round trip to a control plane and one from it to another; below it most tokens would come too late. */
    private static final double MIN_TOKEN_LIFETIME_MS = 100;
    /** The other half is left for what the bound's argument does not count. */
    private static final double SLACK_FRACTION = 1.0 / 2;

    /**
     * How long a data plane may use a token, from when it asked for it. The overshoot pays for this time and for clocks
     * that are off by the drift: buckets that fill too fast, and a lifetime that ends too late.
     */
    public double tokenLifetimeMs() {
        return Math.max(MIN_TOKEN_LIFETIME_MS, affordableLifetimeMs());
    }

    private double affordableLifetimeMs() {
        return windowMs * ((1 + overshoot) / (1 + DRIFT) - 1) * (1 - DRIFT);
    }

    /** Of a limit's rate, how much buckets fill at: all of it unless the overshoot does not pay for the lifetime. */
    double rateFraction() {
        if (affordableLifetimeMs() >= MIN_TOKEN_LIFETIME_MS) {
            return 1;
        }
        double longestSpanMs = windowMs + MIN_TOKEN_LIFETIME_MS / (1 - DRIFT);
        return windowMs * (1 + overshoot) / (longestSpanMs * (1 + DRIFT));
    }

    /** What all buckets of a tenant together may hold beyond its burst, in tokens. */
    public double extraCapacity() {
        return slack * SLACK_FRACTION;
    }
}
