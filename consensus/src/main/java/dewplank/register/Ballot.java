package dewplank.register;

import java.util.Objects;

/**
 * The number of one attempt to change the register. The proposer's part names one life of one process, so that no
 * ballot is ever used for two values.
 */
public final class Ballot implements Comparable<Ballot> {
    /** Below every ballot that is used. */
    public static final Ballot NONE = new Ballot(0, "");

    private final long round;
    private final String proposer;

    /** The ballot of this round by this proposer. */
    public Ballot(long round, String proposer) {
        this.round = round;
        this.proposer = Objects.requireNonNull(proposer);
    }

    /** The round, compared first. */
    public long round() {
        return round;
    }

    /** Whose ballot it is: identity and life of the proposing process. */
    public String proposer() {
        return proposer;
    }

    /** Whether it is below every ballot used. */
    public boolean isNone() {
        return round == 0;
    }

    /** Whether it comes after the other ballot. */
    public boolean isAfter(Ballot other) {
        return compareTo(other) > 0;
    }

    @Override
    public int compareTo(Ballot other) {
        int byRound = Long.compare(round, other.round);
        return byRound != 0 ? byRound : proposer.compareTo(other.proposer);
    }

    @Override
    public boolean equals(Object other) {
        return other instanceof Ballot && compareTo((Ballot) other) == 0;
    }

    @Override
    public int hashCode() {
        return 31 * Long.hashCode(round) + proposer.hashCode();
    }

    @Override
    public String toString() {
        return round + "/" + proposer;
    }
}
