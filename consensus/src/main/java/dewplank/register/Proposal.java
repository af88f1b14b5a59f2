package dewplank.register;

/**
 * The proposal that a {@link Task} derives from the value read.
 *
 * @param value the value for the accept phase
 * @param result the result of the request once the value is chosen
 * @param changed whether the value differs from the one read
 * @param <A> the result of the callers' changes
 */
record Proposal<A>(RegisterValue value, RequestResult<A> result, boolean changed) {
    static <A> Proposal<A> unchanged(RegisterValue read) {
        return new Proposal<>(read, new RequestResult.None<>(), false);
    }

    static <A> Proposal<A> changed(RegisterValue next) {
        return new Proposal<>(next, new RequestResult.None<>(), true);
    }
}
