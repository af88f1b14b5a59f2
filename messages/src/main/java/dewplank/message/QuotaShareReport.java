package dewplank.message;

/** The share of all tenants' quotas that a control plane holds. Part of a {@link ControlHeartbeat}. */
public final class QuotaShareReport {
    /** From 0 to 1. */
    public final double fraction;
    /** That of the assigner of the grant applied last; 0 before the first. */
    public final long fencingToken;
    /** That of the grant applied last; 0 before the first. */
    public final long number;

    public QuotaShareReport(double fraction, long fencingToken, long number) {
        this.fraction = fraction;
        this.fencingToken = fencingToken;
        this.number = number;
    }
}
