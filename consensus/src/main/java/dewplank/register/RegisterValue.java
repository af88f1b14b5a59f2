package dewplank.register;

import java.util.Arrays;
import java.util.Objects;

/** A value of the register: the acceptors that decide on it, a number that grows with each change, and the payload. */
public final class RegisterValue {
    private final AcceptorSet acceptors;
    private final long revision;
    private final byte[] payload;

    /** A value; the payload is not copied and must not be written to any more. */
    public RegisterValue(AcceptorSet acceptors, long revision, byte[] payload) {
        this.acceptors = Objects.requireNonNull(acceptors);
        this.revision = revision;
        this.payload = payload;
    }

    /** The acceptors that decide what follows this value. */
    public AcceptorSet acceptors() {
        return acceptors;
    }

    /** Grows by one with each change of payload or acceptors. */
    public long revision() {
        return revision;
    }

    /** What the operators keep here, null before the first; not to be written to. */
    public byte[] payload() {
        return payload;
    }

    /** The next value, with this payload. */
    RegisterValue withPayload(byte[] next) {
        return new RegisterValue(acceptors, revision + 1, next);
    }

    /** The next value, with these acceptors. */
    RegisterValue withAcceptors(AcceptorSet next) {
        return new RegisterValue(next, revision + 1, payload);
    }

    @Override
    public boolean equals(Object other) {
        return other instanceof RegisterValue
                && revision == ((RegisterValue) other).revision
                && acceptors.equals(((RegisterValue) other).acceptors)
                && Arrays.equals(payload, ((RegisterValue) other).payload);
    }

    @Override
    public int hashCode() {
        return 31 * Long.hashCode(revision) + acceptors.hashCode();
    }

    @Override
    public String toString() {
        return "revision " + revision + " by " + acceptors;
    }
}
