package dewplank.register;

/**
 * Result of a {@link Change}.
 *
 * @param newPayload the payload to write, or null to leave the value unchanged
 * @param result the result returned to the caller once the value is chosen; not null
 * @param <A> the type of that result
 */
public record Decision<A>(byte[] newPayload, A result) {}
