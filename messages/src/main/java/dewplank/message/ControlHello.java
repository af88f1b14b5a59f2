package dewplank.message;

import dewplank.membership.Member;

/** A control sidecar opens a connection to another one. */
public final class ControlHello {
    public final Member member;
    /** The identity of its disk, which its votes in the register go by. */
    public final String identity;

    public ControlHello(Member member, String identity) {
        this.member = member;
        this.identity = identity;
    }
}
