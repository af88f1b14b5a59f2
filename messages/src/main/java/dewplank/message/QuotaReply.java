package dewplank.message;

/** A control plane's reply to a {@link QuotaRequest}. */
public final class QuotaReply {
    /** The outcome of the request. */
    public enum Outcome {
        /** At least one token is granted. */
        GRANTED,
        /** The tenant has used up its quota. */
        EXHAUSTED,
        /** The control plane can't decide, because it has no share of the quota or does not know the tenant. */
        UNAVAILABLE
    }

    /** The id of the request. */
    public final long id;

    public final Outcome outcome;
    /** The number of granted tokens, at most the requested number; 0 unless granted. */
    public final int tokens;
    /** Milliseconds after which a token may be available; 0 unless exhausted. */
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
