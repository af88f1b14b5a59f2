package dewplank.message;

import dewplank.membership.Member;

/** A data plane opens its session with a control sidecar. */
public final class SessionOpen {
    public final Member member;

    public SessionOpen(Member member) {
        this.member = member;
    }
}
