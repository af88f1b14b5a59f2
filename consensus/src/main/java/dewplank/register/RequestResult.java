package dewplank.register;

/**
 * The result that a request returns to its caller once its decision is chosen, one type for each kind of request.
 *
 * @param <A> the result of the callers' changes
 */
public sealed interface RequestResult<A> {
    /** No result besides the value: for a read, or for a step that does not complete its request. */
    record None<A>() implements RequestResult<A> {}

    /**
     * The result of a {@link Change}.
     *
     * @param result the result returned by the change; not null
     */
    record OfChange<A>(A result) implements RequestResult<A> {}

    /**
     * The result of a reconfiguration.
     *
     * @param result whether the target acceptors took effect; not null
     */
    record OfReconfiguration<A>(Reconfiguration result) implements RequestResult<A> {}
}
