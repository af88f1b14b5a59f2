package dewplank.register;

import java.util.Objects;

/**
 * Names one acceptor by its address and the identity of its disk. The identity is drawn when the disk is first used, so
 * an emptied disk at the same address is a different acceptor. A process without a disk is <em>volatile</em>: it draws
 * an identity at each start, as it forgets its votes when it ends. Immutable; neither part is null.
 */
public final class AcceptorId {
    /** Begins volatile identities only; identities of disks never begin with it. */
    private static final String VOLATILE_PREFIX = "memory:";

    private static final String INCARNATION_SEPARATOR = "#";

    private final String address;
    private final String identity;

    /** Names the acceptor at {@code address} (IP:PORT) whose disk has the identity {@code identity}. */
    public AcceptorId(String address, String identity) {
        this.address = Objects.requireNonNull(address);
        this.identity = Objects.requireNonNull(identity);
    }

    /**
     * The identity of one incarnation of a process without a disk.
     *
     * @param name what all incarnations share
     * @param incarnation differs from incarnation to incarnation
     */
    public static String volatileIdentity(String name, String incarnation) {
        return VOLATILE_PREFIX + name + INCARNATION_SEPARATOR + incarnation;
    }

    /** Whether the acceptor has no disk, so that it is gone for good when its process ends. */
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
