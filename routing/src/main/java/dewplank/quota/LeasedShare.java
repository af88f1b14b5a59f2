package dewplank.quota;

/**
 * The share of all tenants' limits that one control plane has under a lease. The control plane that holds the
 * lease of the role {@code list} grants it ({@link ShareAssigner}). The lease starts when the acknowledged heartbeat
 * was sent, so it expires here before the assigner regards it as expired.
 *
 * <p>Not thread-safe; the control plane calls it on its event loop. No I/O; the caller passes the time with each call,
 * in milliseconds of the loop's clock.
 */
public final class LeasedShare {
    private double fraction;
    private double expiresAtMs = Double.NEGATIVE_INFINITY;
    private long fencingToken;
    private long number;

    /**
     * Applies a grant unless a newer one has been applied already: one with a higher fencing token, or one with the
     * same token and a higher number. The caller passes the share to its {@link QuotaBuckets} before it sends the next
     * report.
     *
     * @param nowMs the current time on the loop's clock, read after the grant arrived
     * @param sentAtMs when this process sent the heartbeat that the grant acknowledges, on the same clock
     * @param grant the grant
     */
    public void onGrant(double nowMs, double sentAtMs, ShareGrant grant) {
        if (!isNewer(grant)) {
            return;
        }
        fraction = grant.renewalOnly() ? Math.min(grant.fraction(), fraction(nowMs)) : grant.fraction();
        expiresAtMs = sentAtMs + ShareLease.USABLE_MS;
        fencingToken = grant.fencingToken();
        number = grant.number();
    }

    private boolean isNewer(ShareGrant grant) {
        return grant.fencingToken() > fencingToken || grant.fencingToken() == fencingToken && grant.number() > number;
    }

    /**
     * The current share; 0 once its lease has expired.
     *
     * @param nowMs the current time on the loop's clock
     */
    public double fraction(double nowMs) {
        return nowMs < expiresAtMs ? fraction : 0;
    }

    /** When the lease of the share expires unless it is renewed; negative infinity before the first grant. */
    public double expiresAtMs() {
        return expiresAtMs;
    }

    /**
     * The report on the share for the next heartbeat.
     *
     * @param nowMs the current time on the loop's clock
     */
    public ShareReport report(double nowMs) {
        return new ShareReport(fraction(nowMs), fencingToken, number);
    }
}
