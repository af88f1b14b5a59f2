package dewplank.register;

import java.util.Objects;

/**
 * The state that an acceptor stores on disk: its identity, the highest promised ballot, the last accepted value and the
 * newest value that is known to be chosen. Immutable. Before the first promised, accepted or chosen ballot, the
 * respective ballot is {@link Ballot#NONE} and its value is null.
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

    /** Returns the state of an acceptor that has not promised any ballot. */
    public static DurableState fresh(String identity) {
        return new DurableState(identity, Ballot.NONE, Ballot.NONE, null, Ballot.NONE, null);
    }

    /** The identity of the disk. */
    public String identity() {
        return identity;
    }

    /** The highest promised ballot. */
    public Ballot promisedBallot() {
        return promisedBallot;
    }

    /** The ballot at which {@link #acceptedValue} was accepted. */
    public Ballot acceptedBallot() {
        return acceptedBallot;
    }

    /** The last accepted value, which is not necessarily chosen; null if no value is accepted. */
    public RegisterValue acceptedValue() {
        return acceptedValue;
    }

    /** The newest ballot at which {@link #chosenValue} is known to be chosen. */
    public Ballot chosenBallot() {
        return chosenBallot;
    }

    /** The newest value known to be chosen; null if there is none. */
    public RegisterValue chosenValue() {
        return chosenValue;
    }

    /** Returns this state with the given promised ballot. */
    DurableState promising(Ballot ballot) {
        return new DurableState(identity, ballot, acceptedBallot, acceptedValue, chosenBallot, chosenValue);
    }

    /** Returns this state with the given accepted value; a higher promised ballot is retained. */
    DurableState accepting(Ballot ballot, RegisterValue value) {
        Ballot highest = ballot.isAfter(promisedBallot) ? ballot : promisedBallot;
        return new DurableState(identity, highest, ballot, value, chosenBallot, chosenValue);
    }

    /** Returns this state with the given chosen value. */
    DurableState choosing(Ballot ballot, RegisterValue value) {
        return new DurableState(identity, promisedBallot, acceptedBallot, acceptedValue, ballot, value);
    }
}
