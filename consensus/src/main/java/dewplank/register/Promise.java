package dewplank.register;

import java.util.Objects;

/** Positive answer to {@link Prepare}: the sender accepts nothing below the ballot any more, and has synced that. */
public final class Promise extends RegisterMessage {
    private final Ballot ballot;
    private final Ballot acceptedBallot;
    private final RegisterValue acceptedValue;

    /** Creates the answer; only {@code acceptedValue} may be null. */
    public Promise(
            String senderAddress,
            String senderIdentity,
            String recipientIdentity,
            Ballot ballot,
            Ballot acceptedBallot,
            RegisterValue acceptedValue) {
        super(senderAddress, senderIdentity, recipientIdentity);
        this.ballot = Objects.requireNonNull(ballot);
        this.acceptedBallot = Objects.requireNonNull(acceptedBallot);
        this.acceptedValue = acceptedValue;
    }

    /** The ballot promised. */
    public Ballot ballot() {
        return ballot;
    }

    /** The ballot of the value accepted last. */
    public Ballot acceptedBallot() {
        return acceptedBallot;
    }

    /** The value accepted last; null if there is none, or if it is not newer than {@link Prepare#chosenBallot}. */
    public RegisterValue acceptedValue() {
        return acceptedValue;
    }
}
