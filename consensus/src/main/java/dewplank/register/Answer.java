package dewplank.register;

/**
 * What a chosen decision answers to its caller, by the kind of request.
 *
 * @param <A> the result of the callers' changes
 */
public sealed interface Answer<A> {
    /** Nothing but the value: of a read, or of a step after which its request is not complete. */
    record None<A>() implements Answer<A> {}

    /**
     * The answer of a {@link Change}.
     *
     * @param result what the change decided; not null
     */
    record OfChange<A>(A result) implements Answer<A> {}

    /**
     * The answer of a reconfiguration.
     *
     * @param result what became of the target acceptors; not null
     */
    record OfReconfiguration<A>(Reconfiguration result) implements Answer<A> {}
}
