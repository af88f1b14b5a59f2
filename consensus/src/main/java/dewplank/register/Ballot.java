package dewplank.register;

import java.util.Objects;

/**
 * The number of one attempt to change the register, ordered by round and then by proposer. The proposer part is unique
 * to one incarnation of one process, so no ballot is used for two values. Immutable. Source: ballot numbers of
 * CASPaxos, Rystsov, "CASPaxos: Replicated State Machines without logs", 2018.
 */
public final class Ballot implements Comparable<Ballot> {
    /** Lower than every ballot in use. */
    public static final Ballot NONE = new Ballot(0, "");

    private final long round;
    private final String proposer;

    /** Creates the ballot of this round by this proposer; {@code proposer} is not null. */
    public Ballot(long round, String proposer) {
        this.round = round;
        this.proposer = Objects.requireNonNull(proposer);
    }

    /** The round, compared first; 0 only in {@link #NONE}. */
    public long round() {
        return round;
    }

    /** The name of the proposer, which is unique to one incarnation of one process. */
    public String proposer() {
        return proposer;
    }

    /** Whether this is {@link #NONE}. */
    public boolean isNone() {
        return round == 0;
    }

    /** Whether this ballot is higher than the other. */
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
        return other instanceof Ballot ballot && compareTo(ballot) == 0;
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
