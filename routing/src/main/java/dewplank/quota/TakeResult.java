package dewplank.quota;

/** What a control plane answers to a request for tokens of a tenant. Immutable. */
public sealed interface TakeResult {
    /**
     * Tokens were taken out of the bucket.
     *
     * @param tokens how many, at least one; may be fewer than were asked for
     */
    record Granted(int tokens) implements TakeResult {}

    /**
     * The bucket has no whole token.
     *
     * @param untilNextMs in how many milliseconds it has one; infinity where its capacity is below one token
     */
    record Exhausted(double untilNextMs) implements TakeResult {}

    /** The tenant needs no tokens. */
    record Unlimited() implements TakeResult {}

    /** The configuration in force here has no such tenant. */
    record UnknownTenant() implements TakeResult {}

    /** This control plane has no share of the limits at present: it can tell nothing of what is left. */
    record NoShare() implements TakeResult {}
}
