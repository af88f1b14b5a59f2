package dewplank.register;

/**
 * What a {@link Task} proposes on top of the value read.
 *
 * @param value the value for the accept phase
 * @param answer the answer once it is chosen
 * @param changed whether the value differs from the one read
 * @param <A> the result of the callers' changes
 */
record Proposal<A>(RegisterValue value, Answer<A> answer, boolean changed) {
    static <A> Proposal<A> unchanged(RegisterValue read) {
        return new Proposal<>(read, new Answer.None<>(), false);
    }

    static <A> Proposal<A> changed(RegisterValue next) {
        return new Proposal<>(next, new Answer.None<>(), true);
    }
}
