package dewplank.message;

/** A control plane's reply to a {@link QuotaRequest}. */
public final class QuotaReply {
    /** What became of the request. */
    public enum Outcome {
        /** One token at least is granted. */
        GRANTED,
        /** The tenant has used up its quota. */
        EXHAUSTED,
        /** This control plane cannot tell: it has no share of the quota, or does not know the tenant. */
        UNAVAILABLE
    }

    /** That of the request. */
    public final long id;

    public final Outcome outcome;
    /** 0 unless granted; at most as many as were asked for. */
    public final int tokens;
    /** After how many milliseconds there may be a token; 0 unless exhausted. */
    public final double retryAfterMs;

    private QuotaReply(long id, Outcome outcome, int tokens, double retryAfterMs) {
        this.id = id;
        this.outcome = outcome;
        this.tokens = tokens;
        this.retryAfterMs = retryAfterMs;
    }

    public static QuotaReply granted(long id, int tokens) {
        return new QuotaReply(id, Outcome.GRANTED, tokens, 0);
    }

    public static QuotaReply exhausted(long id, double retryAfterMs) {
        return new QuotaReply(id, Outcome.EXHAUSTED, 0, retryAfterMs);
    }

    public static QuotaReply unavailable(long id) {
        return new QuotaReply(id, Outcome.UNAVAILABLE, 0, 0);
    }
}
