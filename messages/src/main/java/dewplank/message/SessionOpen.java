package dewplank.message;

import dewplank.membership.Member;

/** The first message of a data plane on a connection to a control plane; opens a session. */
public final class SessionOpen {
    public final Member member;

    public SessionOpen(Member member) {
        this.member = member;
    }
}
