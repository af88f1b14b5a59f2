package dewplank.register;

/**
 * The outcome of a request to the register.
 *
 * @param <A> the result of the callers' changes
 */
public sealed interface Outcome<A> permits Outcome.Confirmed, Outcome.Unknown {
    /**
     * The decision is final: the value that it is based on, or the new value, is chosen at its ballot.
     *
     * @param value the chosen value; not null
     * @param result the result of the request; not null
     * @param changed whether this request changed the value
     */
    record Confirmed<A>(RegisterValue value, RequestResult<A> result, boolean changed) implements Outcome<A> {}

    /**
     * The request may have taken effect, may take effect later, or may never take effect.
     *
     * @param reason why the outcome is unknown, as text for operators
     */
    record Unknown<A>(String reason) implements Outcome<A> {
        static <A> Unknown<A> noQuorum() {
            return new Unknown<>("no quorum answered in time");
        }

        static <A> Unknown<A> tooManyRequests() {
            return new Unknown<>("too many requests are pending");
        }

        static <A> Unknown<A> noTargetAcceptors() {
            return new Unknown<>("the list of target acceptors is empty");
        }
    }
}
