package dewplank.message;

import dewplank.membership.Member;

/** The first message of a control plane, or of a relay without a disk, on a connection that it opens to another. */
public final class ControlHello {
    public final Member member;
    /** The identity of the sender's disk, under which the register counts its votes. */
    public final String identity;

    /** Whether the sender's acceptor state survives a restart; only then may it remain an acceptor. */
    public final boolean durable;

    public ControlHello(Member member, String identity, boolean durable) {
        this.member = member;
        this.identity = identity;
        this.durable = durable;
    }
}
