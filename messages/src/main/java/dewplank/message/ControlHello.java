package dewplank.message;

import dewplank.membership.Member;

/** A control sidecar opens a connection to another one, or a relay without a disk does. */
public final class ControlHello {
    public final Member member;
    /** The identity of its disk, which its votes in the register go by. */
    public final String identity;

    /** Whether what it has accepted outlives its process: only then it may be an acceptor for good. */
    public final boolean durable;

    public ControlHello(Member member, String identity, boolean durable) {
        this.member = member;
        this.identity = identity;
        this.durable = durable;
    }
}
