package dewplank.singleton;

/** What a candidate asks of a voter. Not a record: messages are filled in field by field. */
public final class VoteRequest {
    /** What is asked for. */
    public enum Kind {
        /** Whether the voter is free to vote; binds nobody. */
        PROBE,
        /** A vote under a new number. */
        REQUEST_VOTE,
        /** The lease once more, by the holder of the number. */
        RENEW,
        /** The vote back: the ballot failed. */
        WITHDRAW,
        /** The vote back: the holder lays the duty down. */
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
     * A request.
     *
     * @param kind what is asked for
     * @param duty the duty
     * @param candidate who asks; another name in each life of a process
     * @param voterIdentity the identity of the disk whose vote is asked for
     * @param round the candidate's count of its requests, which the reply brings back
     * @param fencingToken the fencing token
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

    /** What is asked for. */
    public Kind kind() {
        return kind;
    }

    /** The duty. */
    public String duty() {
        return duty;
    }

    /** Who asks. */
    public String candidate() {
        return candidate;
    }

    /** The identity of the disk whose vote is asked for; another one at the same address must not give it. */
    public String voterIdentity() {
        return voterIdentity;
    }

    /** The candidate's count of its requests. */
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
