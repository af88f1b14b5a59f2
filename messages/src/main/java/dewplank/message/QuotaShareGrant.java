package dewplank.message;

/** The share of all tenants' quotas that is granted to the sender of a heartbeat. Part of a {@link HeartbeatAck}. */
public final class QuotaShareGrant {
    /** The share as a fraction from 0 to 1. */
    public final double fraction;
    /** The fencing token of the control plane that assigns the shares. */
    public final long fencingToken;
    /** The number of the grant; higher than those of all earlier grants under this fencing token. */
    public final long number;
    /** Whether the grant must not increase the share that the receiver still has when the grant arrives. */
    public final boolean renewalOnly;

    public QuotaShareGrant(double fraction, long fencingToken, long number, boolean renewalOnly) {
        this.fraction = fraction;
        this.fencingToken = fencingToken;
        this.number = number;
        this.renewalOnly = renewalOnly;
    }
}
