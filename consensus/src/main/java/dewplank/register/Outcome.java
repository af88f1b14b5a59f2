package dewplank.register;

/** How a request to the register ended. */
public sealed interface Outcome permits Outcome.Confirmed, Outcome.Unknown {
    /**
     * The decision holds: the value it was taken on, or the new one, is chosen at its ballot.
     *
     * @param value the value chosen
     * @param answer what the change answered; a {@link Reconfiguration} for replacements; null for reads
     * @param changed whether this request changed the value
     */
    record Confirmed(RegisterValue value, Object answer, boolean changed) implements Outcome {}

    /**
     * The request may have taken effect, may take effect later, or never.
     *
     * @param reason why nothing is known
     */
    record Unknown(String reason) implements Outcome {}
}
