package dewplank.singleton;

/**
 * A {@link LeaseVoter}'s reply to a {@link Candidate}. Immutable once received; safe to share between threads.
 * Not a record, because Protostuff sets the fields of a message one by one. It numbers the fields by their position in
 * this class, so neither the order of the fields nor that of the enum's constants may change.
 */
public final class VoteReply {
    /** The voter's decision. */
    public enum Verdict {
        /** The vote is granted; in reply to a probe, it would be granted. */
        GRANTED,
        /** The voter is bound to another candidate, the token is too low, or the candidate's voter set is outdated. */
        REJECTED,
        /** The voter may have voted before a restart, recently received a new voter set, or can't persist a token. */
        ABSTAINED,
        /** The voter's disk has another identity than the requested one, and must not vote for it. */
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
     * Creates a reply.
     *
     * @param request the request that it replies to
     * @param voterIdentity the identity of the voter's disk
     * @param verdict the decision
     * @param state the state of the vote after the decision
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
     * The state of a voter's vote for one role.
     *
     * @param highestToken the highest token that the voter has granted
     * @param grantedTo the candidate that the voter is bound to; null if there is none or it is unknown
     * @param remainingMs how much longer the voter grants no vote to any other candidate
     */
    record VoteState(long highestToken, String grantedTo, double remainingMs) {}

    /** The singleton role. */
    public String duty() {
        return duty;
    }

    /** The identity of the voter's disk. */
    public String voterIdentity() {
        return voterIdentity;
    }

    /** The identity whose vote was requested. */
    public String requestedIdentity() {
        return requestedIdentity;
    }

    /** Whether the disk whose vote was requested granted it, or would grant it if the request is a probe. */
    boolean isGranted() {
        return verdict == Verdict.GRANTED && voterIdentity.equals(requestedIdentity);
    }

    /** The name of the candidate that sent the request. */
    public String candidate() {
        return candidate;
    }

    /** The candidate's round number. */
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

    /** The candidate that the voter is bound to; null if there is none or it is unknown. */
    public String grantedTo() {
        return grantedTo;
    }

    /** How many milliseconds longer the voter is bound or abstains. */
    public double remainingMs() {
        return remainingMs;
    }

    @Override
    public String toString() {
        return verdict + " " + duty + " " + voterIdentity + " to " + candidate + " round " + round + " highest token "
                + highestToken + " granted to " + grantedTo + " for " + remainingMs + " ms";
    }
}
