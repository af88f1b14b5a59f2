package dewplank.singleton;

/** A voter's answer. Not a record: messages are filled in field by field. */
public final class VoteReply {
    /** What the voter says. */
    public enum Verdict {
        /** The vote is given, or, to a probe, would be. */
        GRANTED,
        /** Another's lease stands, the number is too low, or the candidate counts by a list that is out of force. */
        REJECTED,
        /** The voter may have voted before, has just learned of a set of voters, or cannot keep a number on disk. */
        ABSTAINED,
        /** The one that answers has another identity than the one that was asked; it never votes in its place. */
        WRONG_IDENTITY
    }

    private final String duty;
    private final String voterIdentity;
    private final String candidate;
    private final long round;
    private final Verdict verdict;
    private final long highestToken;
    private final String grantedTo;
    private final double remainingMs;
    private final String requestedIdentity;

    /**
     * A reply.
     *
     * @param request what was asked
     * @param voterIdentity the identity of the disk that answers
     * @param verdict the answer
     * @param state what stands at the voter after it
     */
    VoteReply(VoteRequest request, String voterIdentity, Verdict verdict, VoteState state) {
        this.duty = request.duty();
        this.voterIdentity = voterIdentity;
        this.candidate = request.candidate();
        this.round = request.round();
        this.verdict = verdict;
        this.highestToken = state.highestToken();
        this.grantedTo = state.grantedTo();
        this.remainingMs = state.remainingMs();
        this.requestedIdentity = request.voterIdentity();
    }

    /** What stands at a voter: its highest number, whom its lease binds it to (null: nobody), and for how long. */
    record VoteState(long highestToken, String grantedTo, double remainingMs) {}

    /** The duty. */
    public String duty() {
        return duty;
    }

    /** The identity of the disk that answers. */
    public String voterIdentity() {
        return voterIdentity;
    }

    /** The identity that was asked. */
    public String requestedIdentity() {
        return requestedIdentity;
    }

    /** Whether the vote is given, or to a probe would be, by the very disk that was asked. */
    boolean grants() {
        return verdict == Verdict.GRANTED && voterIdentity.equals(requestedIdentity);
    }

    /** Who asked. */
    public String candidate() {
        return candidate;
    }

    /** The round of the request. */
    public long round() {
        return round;
    }

    /** The answer. */
    public Verdict verdict() {
        return verdict;
    }

    /** The highest number that the voter has promised. */
    public long highestToken() {
        return highestToken;
    }

    /** Whom the voter is bound to; null where to nobody, or where it does not know. */
    public String grantedTo() {
        return grantedTo;
    }

    /** How much longer the voter is bound, or abstains. */
    public double remainingMs() {
        return remainingMs;
    }

    @Override
    public String toString() {
        return verdict + " " + duty + " " + voterIdentity + " to " + candidate + " round " + round + " highest token "
                + highestToken + " granted to " + grantedTo + " for " + remainingMs + " ms";
    }
}
