package dewplank.quota;

/** The result of a request to a control plane for tokens of a tenant. Immutable. */
public sealed interface TakeResult {
    /**
     * Tokens were taken out of the bucket.
     *
     * @param tokens the number of tokens, at least 1; may be lower than requested
     */
    record Granted(int tokens) implements TakeResult {}

    /**
     * The bucket contains less than one token.
     *
     * @param nextTokenAfterMs the time until it contains one token; infinity if its capacity is below 1
     */
    record Exhausted(double nextTokenAfterMs) implements TakeResult {}

    /** The tenant has no limit, so its requests need no tokens. */
    record Unlimited() implements TakeResult {}

    /** The configuration in force at this control plane does not contain the tenant. */
    record UnknownTenant() implements TakeResult {}

    /**
     * This control plane currently has no share of the limits, so it does not know whether other control planes have
     * tokens left.
     */
    record NoShare() implements TakeResult {}
}
