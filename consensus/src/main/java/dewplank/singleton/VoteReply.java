package dewplank.singleton;

/** A voter's answer. Not a record: messages are filled in field by field. */
public final class VoteReply {
    /** What the voter says. */
    public enum Verdict {
        /** The vote is given, or, to a probe, would be. */
        GRANTED,
        /** Another's lease stands, the number is too low, or the candidate counts by a list that is out of force. */
        REFUSED,
        /** The voter may have voted before, has just learned of a set of voters, or cannot keep a number on disk. */
        ABSTAINED,
        /** The one that answers has another identity than the one that was asked; it never votes in its place. */
        NOT_THE_ONE_ASKED
    }

    private final String duty;
    private final String voter;
    private final String candidate;
    private final long round;
    private final Verdict verdict;
    private final long number;
    private final String holder;
    private final double remainingMs;
    private final String asked;

    /**
     * A reply.
     *
     * @param request what was asked
     * @param voter the identity of the disk that answers
     * @param verdict the answer
     * @param standing what stands at the voter after it
     */
    VoteReply(VoteRequest request, String voter, Verdict verdict, Standing standing) {
        this.duty = request.duty();
        this.voter = voter;
        this.candidate = request.candidate();
        this.round = request.round();
        this.verdict = verdict;
        this.number = standing.number();
        this.holder = standing.holder();
        this.remainingMs = standing.remainingMs();
        this.asked = request.voter();
    }

    /** What stands at a voter: its highest number, whom its lease binds it to (null: nobody), and for how long. */
    record Standing(long number, String holder, double remainingMs) {}

    /** The duty. */
    public String duty() {
        return duty;
    }

    /** The identity of the disk that answers. */
    public String voter() {
        return voter;
    }

    /** The identity that was asked. */
    public String asked() {
        return asked;
    }

    /** Whether the vote is given, or to a probe would be, by the very disk that was asked. */
    boolean grants() {
        return verdict == Verdict.GRANTED && voter.equals(asked);
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
    public long number() {
        return number;
    }

    /** Whom the voter is bound to; null where to nobody, or where it does not know. */
    public String holder() {
        return holder;
    }

    /** How much longer the voter is bound, or abstains. */
    public double remainingMs() {
        return remainingMs;
    }

    @Override
    public String toString() {
        return verdict + " " + duty + " " + voter + " to " + candidate + " round " + round + " number " + number
                + " holder " + holder + " for " + remainingMs + " ms";
    }
}
