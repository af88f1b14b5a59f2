package dewplank.register;

/** How a request to the register ended. */
public sealed interface Outcome permits Outcome.Confirmed, Outcome.Unknown {
    /**
     * The decision holds: the value it was taken on, or the new one, is chosen at its ballot.
     *
     * @param value the chosen value; not null
     * @param answer the answer of the {@link Change}; a {@link Reconfiguration} for a reconfiguration; null for a read
     * @param changed whether this request changed the value
     */
    record Confirmed(RegisterValue value, Object answer, boolean changed) implements Outcome {}

    /**
     * The request may have taken effect, may take effect later, or never.
     *
     * @param reason why the result is not known, as text for operators
     */
    record Unknown(String reason) implements Outcome {
        static final Unknown NO_QUORUM = new Unknown("no quorum answered in time");
        static final Unknown TOO_MANY_REQUESTS = new Unknown("too many requests are pending");
        static final Unknown NO_TARGET_ACCEPTORS = new Unknown("no acceptors wanted");
    }
}
