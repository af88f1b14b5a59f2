package dewplank.message;

import dewplank.membership.Member;

/** The first message of a control plane, or of a relay without a disk, on a connection that it opens to another. */
public final class ControlHello {
    public final Member member;
    /** The identity of its disk, by which the register counts its votes. */
    public final String identity;

    /** Whether its acceptor state survives the process: only then it may stay an acceptor. */
    public final boolean durable;

    public ControlHello(Member member, String identity, boolean durable) {
        this.member = member;
        this.identity = identity;
        this.durable = durable;
    }
}
