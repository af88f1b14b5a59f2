package dewplank.message;

/**
 * Asks a control plane for tokens of a tenant's quota: by a data plane for requests that wait, or by another control
 * plane that has none left. Replied by a {@link QuotaReply}.
 */
public final class QuotaRequest {
    /** Chosen by the sender; the reply repeats it. */
    public final long id;

    public final String tenant;
    /** Above 0. */
    public final int tokens;
    /** Whether another control plane asks, which has asked or will ask the others itself. */
    public final boolean forwarded;

    public QuotaRequest(long id, String tenant, int tokens, boolean forwarded) {
        this.id = id;
        this.tenant = tenant;
        this.tokens = tokens;
        this.forwarded = forwarded;
    }
}
