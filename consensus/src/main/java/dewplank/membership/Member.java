package dewplank.membership;

import java.util.Objects;

/**
 * One process of the fleet, in one incarnation. Immutable; two members are equal if all their fields are equal.
 *
 * <p>Part of messages: Protostuff sets the fields directly and numbers them by their position in this class, so fields
 * must not be moved, added or removed.
 */
public final class Member {
    /** The role of a control plane. */
    public static final String CONTROL = "control";
    /** The role of a data plane. */
    public static final String DATA = "data";

    /** The name of the node in the settings. */
    public final String node;
    /** {@link #CONTROL} or {@link #DATA}. */
    public final String role;
    /** The address for other processes of the fleet, as IP:PORT. */
    public final String address;
    /** The failure domain; null if the settings name none. */
    public final String zone;
    /** The wall clock at the start of the process, in milliseconds; larger for later incarnations unless set back. */
    public final long incarnation;

    /** Creates a member; only the zone may be null. */
    public Member(String node, String role, String address, String zone, long incarnation) {
        this.node = node;
        this.role = role;
        this.address = address;
        this.zone = zone;
        this.incarnation = incarnation;
    }

    @Override
    public boolean equals(Object other) {
        return other instanceof Member member
                && member.node.equals(node)
                && member.role.equals(role)
                && member.address.equals(address)
                && Objects.equals(member.zone, zone)
                && member.incarnation == incarnation;
    }

    @Override
    public int hashCode() {
        return Objects.hash(node, role, address, zone, incarnation);
    }

    /** Whether all fields but the zone are present, which a message from another process does not guarantee. */
    public boolean isComplete() {
        return node != null && role != null && address != null;
    }
}
