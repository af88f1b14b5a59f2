package dewplank.membership;

import java.util.Objects;

/** One process of the system. */
public final class Member {
    /** A process that serves control. */
    public static final String CONTROL = "control";
    /** A process that carries clients' requests. */
    public static final String DATA = "data";

    public final String node;
    public final String role;
    /** IP:PORT at which others of the system reach it. */
    public final String address;

    public final String zone;
    /** Drawn anew at each start of the process. */
    public final long incarnation;

    public Member(String node, String role, String address, String zone, long incarnation) {
        this.node = node;
        this.role = role;
        this.address = address;
        this.zone = zone;
        this.incarnation = incarnation;
    }

    @Override
    public boolean equals(Object other) {
        return other instanceof Member m
                && m.node.equals(node)
                && m.role.equals(role)
                && m.address.equals(address)
                && Objects.equals(m.zone, zone)
                && m.incarnation == incarnation;
    }

    @Override
    public int hashCode() {
        return Objects.hash(node, role, address, zone, incarnation);
    }
}
