package dewplank.singleton;

/** What a candidate asks of a voter. Not a record: messages are filled in field by field. */
public final class VoteRequest {
    /** What is asked for. */
    public enum Kind {
        /** Whether the voter is free to vote; binds nobody. */
        PROBE,
        /** A vote under a new number. */
        ASK,
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
    private final long number;
    private final long votersVersion;
    private final String voter;

    /**
     * A request.
     *
     * @param kind what is asked for
     * @param duty the duty
     * @param candidate who asks; another name in each life of a process
     * @param voter the identity of the disk whose vote is asked for
     * @param round the candidate's count of its requests, which the reply brings back
     * @param number the fencing number
     * @param votersVersion the generation of the set of voters by which the candidate counts
     */
    public VoteRequest(
            Kind kind, String duty, String candidate, String voter, long round, long number, long votersVersion) {
        this.kind = kind;
        this.duty = duty;
        this.candidate = candidate;
        this.voter = voter;
        this.round = round;
        this.number = number;
        this.votersVersion = votersVersion;
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
    public String voter() {
        return voter;
    }

    /** The candidate's count of its requests. */
    public long round() {
        return round;
    }

    /** The fencing number. */
    public long number() {
        return number;
    }

    /** The generation of the set of voters by which the candidate counts. */
    public long votersVersion() {
        return votersVersion;
    }

    @Override
    public String toString() {
        return kind + " " + duty + " " + candidate + " of " + voter + " round " + round + " number " + number
                + " voters " + votersVersion;
    }
}
