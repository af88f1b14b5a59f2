package dewplank.singleton;

/**
 * A request from a {@link Candidate} to a {@link LeaseVoter}. Immutable once received; safe to share between threads.
 * Not a record, because Protostuff sets the fields of a message one by one. It numbers the fields by their position in
 * this class, so neither the order of the fields nor that of the enum's constants may change.
 */
public final class VoteRequest {
    /** The purpose of a request. */
    public enum Kind {
        /** Queries whether the voter is free to vote; does not bind it. */
        PROBE,
        /** Requests the vote under a new fencing token. */
        REQUEST_VOTE,
        /** Requests the vote for another lease duration; sent by the lease holder, under its fencing token. */
        RENEW,
        /** Frees the voter after a failed election. The voter does not reply. */
        WITHDRAW,
        /** Frees the voter at the end of the lease. The voter does not reply. */
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
     * Creates a request; no argument may be null.
     *
     * @param kind the purpose of the request
     * @param duty the singleton role
     * @param candidate the name of the candidate that sends it, which differs in each incarnation of a process
     * @param voterIdentity the identity of the disk whose vote is requested
     * @param round the candidate's round number, which the reply repeats
     * @param fencingToken the token that is requested, renewed, withdrawn or released; for a probe, the highest token
     *        seen
     * @param voterSetGeneration the generation of the voter set by which the candidate counts the votes
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

    /** The purpose of the request. */
    public Kind kind() {
        return kind;
    }

    /** The singleton role. */
    public String duty() {
        return duty;
    }

    /** The name of the candidate that sent the request. */
    public String candidate() {
        return candidate;
    }

    /** The identity of the disk whose vote is requested; another disk at the same address must not grant it. */
    public String voterIdentity() {
        return voterIdentity;
    }

    /** The candidate's round number. */
    public long round() {
        return round;
    }

    /** The fencing token. */
    public long fencingToken() {
        return fencingToken;
    }

    /** The generation of the voter set by which the candidate counts the votes. */
    public long voterSetGeneration() {
        return voterSetGeneration;
    }

    @Override
    public String toString() {
        return kind + " " + duty + " " + candidate + " of " + voterIdentity + " round " + round + " token "
                + fencingToken + " voters " + voterSetGeneration;
    }
}
