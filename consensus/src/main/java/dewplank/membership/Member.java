package dewplank.membership;

import java.util.Objects;

/**
 * One process of the fleet, in one incarnation. Immutable; two are equal where all their fields are.
 *
 * <p>Part of messages: Protostuff fills it in field by field, and numbers the fields by their place in this class,
 * which therefore never changes.
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
    /** IP:PORT at which other processes of the fleet reach it. */
    public final String address;
    /** The failure domain; null where the settings name none. */
    public final String zone;
    /** The wall clock at the start of the process, in milliseconds: larger in a later one, unless it was set back. */
    public final long incarnation;

    /** A process; only the zone may be null. */
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
}
