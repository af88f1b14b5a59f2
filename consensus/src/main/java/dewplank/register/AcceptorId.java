package dewplank.register;

import java.util.Objects;

/**
 * Identifies an acceptor by its address and the identity of its disk. The identity is generated when the disk is first
 * used, so an emptied disk at the same address is a different acceptor. A process without a disk is <em>volatile</em>:
 * it loses its votes when it exits, so it generates a new identity at each start. Immutable; neither part is null.
 */
public final class AcceptorId {
    /** Prefix of volatile identities; identities of disks never start with it. */
    private static final String VOLATILE_PREFIX = "memory:";

    private static final String INCARNATION_SEPARATOR = "#";

    private final String address;
    private final String identity;

    /** Creates the id of the acceptor at {@code address} (IP:PORT) whose disk has the identity {@code identity}. */
    public AcceptorId(String address, String identity) {
        this.address = Objects.requireNonNull(address);
        this.identity = Objects.requireNonNull(identity);
    }

    /**
     * Returns the identity of one incarnation of a process without a disk.
     *
     * @param name the part that all incarnations share
     * @param incarnation the part that differs for each incarnation
     */
    public static String volatileIdentity(String name, String incarnation) {
        return VOLATILE_PREFIX + name + INCARNATION_SEPARATOR + incarnation;
    }

    /** Whether the acceptor has no disk, so that it ceases to exist when its process exits. */
    public boolean isVolatile() {
        return identity.startsWith(VOLATILE_PREFIX);
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
