package dewplank.register;

import java.util.Objects;

/** What an acceptor must keep on disk. Ballots are {@link Ballot#NONE} and values null where there is none yet. */
public final class DurableState {
    private final String identity;
    private final Ballot promised;
    private final Ballot accepted;
    private final RegisterValue value;
    private final Ballot chosenBallot;
    private final RegisterValue chosen;

    /** A whole state. */
    public DurableState(
            String identity,
            Ballot promised,
            Ballot accepted,
            RegisterValue value,
            Ballot chosenBallot,
            RegisterValue chosen) {
        this.identity = Objects.requireNonNull(identity);
        this.promised = Objects.requireNonNull(promised);
        this.accepted = Objects.requireNonNull(accepted);
        this.value = value;
        this.chosenBallot = Objects.requireNonNull(chosenBallot);
        this.chosen = chosen;
    }

    /** The state of an acceptor that has promised nothing. */
    public static DurableState fresh(String identity) {
        return new DurableState(identity, Ballot.NONE, Ballot.NONE, null, Ballot.NONE, null);
    }

    /** The identity drawn with the disk. */
    public String identity() {
        return identity;
    }

    /** The highest ballot promised. */
    public Ballot promised() {
        return promised;
    }

    /** The ballot at which the value was accepted. */
    public Ballot accepted() {
        return accepted;
    }

    /** The value accepted last; not always chosen. */
    public RegisterValue value() {
        return value;
    }

    /** The newest ballot at which the chosen value is known to be chosen. */
    public Ballot chosenBallot() {
        return chosenBallot;
    }

    /** The newest value known to be chosen, or null. */
    public RegisterValue chosen() {
        return chosen;
    }

    /** The same with a ballot promised. */
    DurableState promising(Ballot ballot) {
        return new DurableState(identity, ballot, accepted, value, chosenBallot, chosen);
    }

    /** The same with a value accepted; a higher promise stays. */
    DurableState accepting(Ballot ballot, RegisterValue next) {
        Ballot highest = ballot.isAfter(promised) ? ballot : promised;
        return new DurableState(identity, highest, ballot, next, chosenBallot, chosen);
    }

    /** The same with a newer chosen value. */
    DurableState choosing(Ballot ballot, RegisterValue next) {
        return new DurableState(identity, promised, accepted, value, ballot, next);
    }
}
