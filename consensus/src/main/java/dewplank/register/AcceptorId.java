package dewplank.register;

import java.util.Objects;

/** One acceptor: where it is reached and the identity drawn with its disk. */
public final class AcceptorId {
    private final String address;
    private final String identity;

    /** Names the acceptor reached at {@code address} (IP:PORT) whose disk carries {@code identity}. */
    public AcceptorId(String address, String identity) {
        this.address = Objects.requireNonNull(address);
        this.identity = Objects.requireNonNull(identity);
    }

    /** Where it is reached, as IP:PORT. */
    public String address() {
        return address;
    }

    /** The identity drawn with its disk; a new disk is a new acceptor. */
    public String identity() {
        return identity;
    }

    @Override
    public boolean equals(Object other) {
        return other instanceof AcceptorId
                && address.equals(((AcceptorId) other).address)
                && identity.equals(((AcceptorId) other).identity);
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
