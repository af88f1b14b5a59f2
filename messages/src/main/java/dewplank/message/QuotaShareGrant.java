package dewplank.message;

/** The share of all tenants' quotas that the sender of a heartbeat may hold. Part of a {@link HeartbeatAck}. */
public final class QuotaShareGrant {
    /** From 0 to 1. */
    public final double fraction;
    /** That of the assigner. */
    public final long fencingToken;
    /** Above those of all earlier grants of the assigner under this token. */
    public final long number;
    /** Whether the receiver may hold no more than what it still holds when the grant arrives. */
    public final boolean renewalOnly;

    public QuotaShareGrant(double fraction, long fencingToken, long number, boolean renewalOnly) {
        this.fraction = fraction;
        this.fencingToken = fencingToken;
        this.number = number;
        this.renewalOnly = renewalOnly;
    }
}
