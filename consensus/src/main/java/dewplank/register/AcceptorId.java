package dewplank.register;

import java.util.Objects;

/**
 * Names one acceptor by its address and the identity of its disk. The identity is drawn when the disk is first used, so
 * an emptied disk at the same address is a different acceptor. Immutable; neither part is null.
 */
public final class AcceptorId {
    private final String address;
    private final String identity;

    /** Names the acceptor at {@code address} (IP:PORT) whose disk has the identity {@code identity}. */
    public AcceptorId(String address, String identity) {
        this.address = Objects.requireNonNull(address);
        this.identity = Objects.requireNonNull(identity);
    }

    /** The address to send to, as IP:PORT. */
    public String address() {
        return address;
    }

    /** The identity of the disk. */
    public String identity() {
        return identity;
    }

    @Override
    public boolean equals(Object other) {
        return other instanceof AcceptorId id && address.equals(id.address) && identity.equals(id.identity);
    }

    @Override
    public int hashCode() {
        return 31 * address.hashCode() + identity.hashCode();
    }

    @Override
    public String toString() {
        return identity + "@" + address;
    }
}
