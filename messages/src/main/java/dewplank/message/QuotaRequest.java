package dewplank.message;

/**
 * Requests tokens of a tenant's quota from a control plane. Sent by a data plane for waiting requests, or by another
 * control plane that has no tokens left. The reply is a {@link QuotaReply}.
 */
public final class QuotaRequest {
    /** Chosen by the sender; the reply repeats it. */
    public final long id;

    public final String tenant;
    /** The requested number of tokens, above 0. */
    public final int tokens;
    /**
     * Whether another control plane forwarded the request. That control plane itself sends the request to further ones
     * if necessary, so the receiver does not forward it again.
     */
    public final boolean forwarded;

    public QuotaRequest(long id, String tenant, int tokens, boolean forwarded) {
        this.id = id;
        this.tenant = tenant;
        this.tokens = tokens;
        this.forwarded = forwarded;
    }
}
