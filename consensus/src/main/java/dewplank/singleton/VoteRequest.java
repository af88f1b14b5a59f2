package dewplank.singleton;

/**
 * A message from a {@link Candidate} to a {@link LeaseVoter}. Immutable once received; safe to share between threads.
 * Not a record: Protostuff fills messages in field by field, and numbers the fields by their place in this class, which
 * therefore never changes; nor does the order of the enum's constants.
 */
public final class VoteRequest {
    /** What a request wants of the voter. */
    public enum Kind {
        /** To learn whether the voter is free to vote; binds nobody. */
        PROBE,
        /** The vote under a new fencing token. */
        REQUEST_VOTE,
        /** The vote for another lease; from the lease holder, under its token. */
        RENEW,
        /** To free the voter: the election failed. No reply. */
        WITHDRAW,
        /** To free the voter: the lease is over. No reply. */
        RELEASE
    }

    private final Kind kind;
    private final String duty;
    private final String candidate;
    private final long round;
    private final long fencingToken;
    private final long voterSetGeneration;
    private final String voterIdentity;

    /**
     * A request; no argument may be null.
     *
     * @param kind what it wants
     * @param duty the singleton role
     * @param candidate the name of the candidate that sends it, another one in each incarnation of a process
     * @param voterIdentity the identity of the disk whose vote is requested
     * @param round the candidate's number of the round, which the reply brings back
     * @param fencingToken the token that is requested, renewed or given up; for a probe, the highest token seen
     * @param voterSetGeneration the generation of the set of voters by which the candidate counts
     */
    public VoteRequest(
            Kind kind,
            String duty,
            String candidate,
            String voterIdentity,
            long round,
            long fencingToken,
            long voterSetGeneration) {
        this.kind = kind;
        this.duty = duty;
        this.candidate = candidate;
        this.voterIdentity = voterIdentity;
        this.round = round;
        this.fencingToken = fencingToken;
        this.voterSetGeneration = voterSetGeneration;
    }

    /** What the request wants. */
    public Kind kind() {
        return kind;
    }

    /** The singleton role. */
    public String duty() {
        return duty;
    }

    /** The name of the candidate that sent it. */
    public String candidate() {
        return candidate;
    }

    /** The identity of the disk whose vote is requested; another disk at the same address must not give it. */
    public String voterIdentity() {
        return voterIdentity;
    }

    /** The candidate's number of the round. */
    public long round() {
        return round;
    }

    /** The fencing token. */
    public long fencingToken() {
        return fencingToken;
    }

    /** The generation of the set of voters by which the candidate counts. */
    public long voterSetGeneration() {
        return voterSetGeneration;
    }

    @Override
    public String toString() {
        return kind + " " + duty + " " + candidate + " of " + voterIdentity + " round " + round + " token "
                + fencingToken + " voters " + voterSetGeneration;
    }
}
