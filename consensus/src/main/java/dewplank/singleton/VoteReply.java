package dewplank.singleton;

/**
 * A {@link LeaseVoter}'s message back to a {@link Candidate}. Immutable once received; safe to share between threads.
 * Not a record: Protostuff fills messages in field by field, and numbers the fields by their place in this class, which
 * therefore never changes; nor does the order of the enum's constants.
 */
public final class VoteReply {
    /** The voter's decision. */
    public enum Verdict {
        /** The vote is given; in reply to a probe, it would be. */
        GRANTED,
        /** The voter is bound to another, the token is too low, or the candidate counts by a superseded set. */
        REJECTED,
        /** The voter may have voted before a restart, has just learned of a set, or can't persist a token. */
        ABSTAINED,
        /** The disk that replies has another identity than the one requested; it never votes in its stead. */
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
     * @param request the request that it replies to
     * @param voterIdentity the identity of the disk that replies
     * @param verdict the decision
     * @param state the vote as it is after the decision
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

    /**
     * A voter's vote for one role.
     *
     * @param highestToken the highest token that was granted
     * @param grantedTo the candidate that the voter is bound to; null where to none, or where it does not know
     * @param remainingMs how much longer it grants nothing to any other candidate
     */
    record VoteState(long highestToken, String grantedTo, double remainingMs) {}

    /** The singleton role. */
    public String duty() {
        return duty;
    }

    /** The identity of the disk that replies. */
    public String voterIdentity() {
        return voterIdentity;
    }

    /** The identity whose vote was requested. */
    public String requestedIdentity() {
        return requestedIdentity;
    }

    /** Whether the vote is given, or to a probe would be, by the very disk whose vote was requested. */
    boolean isGranted() {
        return verdict == Verdict.GRANTED && voterIdentity.equals(requestedIdentity);
    }

    /** The name of the candidate that sent the request. */
    public String candidate() {
        return candidate;
    }

    /** The candidate's number of the round. */
    public long round() {
        return round;
    }

    /** The decision. */
    public Verdict verdict() {
        return verdict;
    }

    /** The highest token that the voter has granted. */
    public long highestToken() {
        return highestToken;
    }

    /** The candidate that the voter is bound to; null where to none, or where it does not know. */
    public String grantedTo() {
        return grantedTo;
    }

    /** How many milliseconds longer the voter is bound, or abstains. */
    public double remainingMs() {
        return remainingMs;
    }

    @Override
    public String toString() {
        return verdict + " " + duty + " " + voterIdentity + " to " + candidate + " round " + round + " highest token "
                + highestToken + " granted to " + grantedTo + " for " + remainingMs + " ms";
    }
}
