package dewplank.quota;

/**
 * The share of all tenants' limits that one control plane holds under a lease, which the lease holder of the role
 * {@code list} grants ({@link ShareAssigner}). The lease counts from when the acknowledged heartbeat was sent, so it
 * ends here before the assigner counts it as ended.
 *
 * <p>Not thread-safe; the control plane calls it on its event loop. No I/O; time is given with each call, in
 * milliseconds of the loop's clock.
 */
public final class HeldShare {
    private double fraction;
    private double endsAtMs = Double.NEGATIVE_INFINITY;
    private long fencingToken;
    private long number;

    /**
     * Applies a grant, unless a newer one was applied before: one under a higher fencing token, or one of the same
     * assigner with a higher number. The caller hands the share on to its {@link QuotaBuckets} before it sends the next
     * report.
     *
     * @param nowMs the time by the loop's clock, read after the grant arrived
     * @param sentAtMs when this process sent the heartbeat that the grant acknowledges, by the same clock
     * @param grant the grant
     */
    public void onGrant(double nowMs, double sentAtMs, ShareGrant grant) {
        if (!isNewer(grant)) {
            return;
        }
        fraction = grant.renewalOnly() ? Math.min(grant.fraction(), fraction(nowMs)) : grant.fraction();
        endsAtMs = sentAtMs + ShareLease.USER_MS;
        fencingToken = grant.fencingToken();
        number = grant.number();
    }

    private boolean isNewer(ShareGrant grant) {
        return grant.fencingToken() > fencingToken || grant.fencingToken() == fencingToken && grant.number() > number;
    }

    /**
     * The share that is held; 0 once its lease has ended.
     *
     * @param nowMs the time by the loop's clock
     */
    public double fraction(double nowMs) {
        return nowMs < endsAtMs ? fraction : 0;
    }

    /** When the share ends unless it is renewed, by the loop's clock; negative infinity before the first grant. */
    public double endsAtMs() {
        return endsAtMs;
    }

    /**
     * What the next heartbeat tells of the share.
     *
     * @param nowMs the time by the loop's clock
     */
    public ShareReport report(double nowMs) {
        return new ShareReport(fraction(nowMs), fencingToken, number);
    }
}
