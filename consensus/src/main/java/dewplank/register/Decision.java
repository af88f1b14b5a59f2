package dewplank.register;

/**
 * Result of a {@link Change}.
 *
 * @param newPayload the payload to write, or null to leave the value unchanged
 * @param answer the caller's answer once the value is chosen; may be null
 */
public record Decision(byte[] newPayload, Object answer) {}
