package dewplank.register;

import java.util.Objects;

/** Positive reply to {@link Prepare}: the sender has synced its promise to accept no lower ballot any more. */
public final class Promise extends RegisterMessage {
    private final Ballot ballot;
    private final Ballot acceptedBallot;
    private final RegisterValue acceptedValue;

    /** Creates the reply; only {@code acceptedValue} may be null. */
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

    /** The promised ballot. */
    public Ballot ballot() {
        return ballot;
    }

    /** The ballot of the last accepted value. */
    public Ballot acceptedBallot() {
        return acceptedBallot;
    }

    /** The last accepted value; null if there is none, or if it is not newer than {@link Prepare#chosenBallot}. */
    public RegisterValue acceptedValue() {
        return acceptedValue;
    }
}
