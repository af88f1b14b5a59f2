package dewplank.register;

import java.util.Objects;

/** One acceptor: where it is reached and the identity drawn with its disk. */
public final class Acceptor {
    private final String address;
    private final String identity;

    /** Names the acceptor reached at {@code address} (IP:PORT) whose disk carries {@code identity}. */
    public Acceptor(String address, String identity) {
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
        return other instanceof Acceptor
                && address.equals(((Acceptor) other).address)
                && identity.equals(((Acceptor) other).identity);
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
