package dewplank.message;

/** The current share of a control plane in all tenants' quotas. Part of a {@link ControlHeartbeat}. */
public final class QuotaShareReport {
    /** The share as a fraction from 0 to 1. */
    public final double fraction;
    /** The fencing token of the last applied grant; 0 before the first grant. */
    public final long fencingToken;
    /** The number of the last applied grant; 0 before the first grant. */
    public final long number;

    public QuotaShareReport(double fraction, long fencingToken, long number) {
        this.fraction = fraction;
        this.fencingToken = fencingToken;
        this.number = number;
    }
}
