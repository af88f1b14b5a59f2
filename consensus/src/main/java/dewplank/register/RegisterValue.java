package dewplank.register;

import java.util.Arrays;
import java.util.Objects;

/**
 * A value of the register: the acceptors that decide on the next value, a revision and the payload. Immutable, provided
 * that the payload, which is not copied, is not modified.
 */
public final class RegisterValue {
    private final AcceptorSet acceptors;
    private final long revision;
    private final byte[] payload;

    /** Creates a value; the payload is not copied and must not be modified afterwards. */
    public RegisterValue(AcceptorSet acceptors, long revision, byte[] payload) {
        this.acceptors = Objects.requireNonNull(acceptors);
        this.revision = revision;
        this.payload = payload;
    }

    /** The acceptors that decide on the next value; not null. */
    public AcceptorSet acceptors() {
        return acceptors;
    }

    /** The revision, which each change of payload or acceptors increments. */
    public long revision() {
        return revision;
    }

    /** The callers' payload, not to be modified; null before the first change. */
    public byte[] payload() {
        return payload;
    }

    /** Returns the next revision, with the given payload. */
    RegisterValue withPayload(byte[] next) {
        return new RegisterValue(acceptors, revision + 1, next);
    }

    /** Returns the next revision, with the given acceptors. */
    RegisterValue withAcceptors(AcceptorSet next) {
        return new RegisterValue(next, revision + 1, payload);
    }

    @Override
    public boolean equals(Object other) {
        return other instanceof RegisterValue value
                && revision == value.revision
                && acceptors.equals(value.acceptors)
                && Arrays.equals(payload, value.payload);
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
