package dewplank.register;

import java.util.Objects;

/**
 * What an acceptor keeps on disk: its identity, its promise, the value it accepted last and the newest value that it
 * knows to be chosen. Immutable. A ballot that does not exist yet is {@link Ballot#NONE}, and the value that belongs to
 * it is null.
 */
public final class DurableState {
    private final String identity;
    private final Ballot promisedBallot;
    private final Ballot acceptedBallot;
    private final RegisterValue acceptedValue;
    private final Ballot chosenBallot;
    private final RegisterValue chosenValue;

    /** Creates a complete state; only the two values may be null. */
    public DurableState(
            String identity,
            Ballot promisedBallot,
            Ballot acceptedBallot,
            RegisterValue acceptedValue,
            Ballot chosenBallot,
            RegisterValue chosenValue) {
        this.identity = Objects.requireNonNull(identity);
        this.promisedBallot = Objects.requireNonNull(promisedBallot);
        this.acceptedBallot = Objects.requireNonNull(acceptedBallot);
        this.acceptedValue = acceptedValue;
        this.chosenBallot = Objects.requireNonNull(chosenBallot);
        this.chosenValue = chosenValue;
    }

    /** The state of an acceptor that has promised nothing. */
    public static DurableState fresh(String identity) {
        return new DurableState(identity, Ballot.NONE, Ballot.NONE, null, Ballot.NONE, null);
    }

    /** The identity of the disk. */
    public String identity() {
        return identity;
    }

    /** The highest ballot promised. */
    public Ballot promisedBallot() {
        return promisedBallot;
    }

    /** The ballot at which {@link #acceptedValue} was accepted. */
    public Ballot acceptedBallot() {
        return acceptedBallot;
    }

    /** The value accepted last, which is not always chosen; null before the first. */
    public RegisterValue acceptedValue() {
        return acceptedValue;
    }

    /** The newest ballot at which {@link #chosenValue} is known to be chosen. */
    public Ballot chosenBallot() {
        return chosenBallot;
    }

    /** The newest value known to be chosen; null before the first. */
    public RegisterValue chosenValue() {
        return chosenValue;
    }

    /** This state with a ballot promised. */
    DurableState promising(Ballot ballot) {
        return new DurableState(identity, ballot, acceptedBallot, acceptedValue, chosenBallot, chosenValue);
    }

    /** This state with a value accepted; a higher promise stays. */
    DurableState accepting(Ballot ballot, RegisterValue value) {
        Ballot highest = ballot.isAfter(promisedBallot) ? ballot : promisedBallot;
        return new DurableState(identity, highest, ballot, value, chosenBallot, chosenValue);
    }

    /** This state with a newer chosen value. */
    DurableState choosing(Ballot ballot, RegisterValue value) {
        return new DurableState(identity, promisedBallot, acceptedBallot, acceptedValue, ballot, value);
    }
}
