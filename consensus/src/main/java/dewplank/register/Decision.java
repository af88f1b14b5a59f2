package dewplank.register;

/**
 * What a {@link Change} decided.
 *
 * @param newPayload the payload to put in place, or null to keep the value
 * @param answer what to answer once that is certain
 */
public record Decision(byte[] newPayload, Object answer) {}
