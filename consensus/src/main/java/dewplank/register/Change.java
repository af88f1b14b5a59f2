package dewplank.register;

/** Decides what becomes of the register's payload. */
public interface Change {
    /**
     * Decides on top of the current payload, which is null before the first. It has no effects and may be called
     * several times: its own change may already be in the payload when an earlier attempt was finished by another.
     */
    Decision decide(byte[] currentPayload);
}
