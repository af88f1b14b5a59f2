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
    /** The other half is left for what the bound's argument does not count. */
    private static final double SLACK_FRACTION = 1.0 / 2;

    /** How long a data plane may use a token, from when it asked for it: the overshoot pays for this time. */
    public double tokenLifetimeMs() {
        return overshoot * windowMs;
    }

    /** What all buckets of a tenant together may hold beyond its burst, in tokens. */
    public double extraCapacity() {
        return slack * SLACK_FRACTION;
    }
}
