package dewplank.register;

import java.util.Objects;

/** Negative reply to {@link Prepare} or {@link Accept}: the sender has promised a higher ballot. */
public final class Reject extends RegisterMessage {
    private final Ballot ballot;
    private final Ballot promisedBallot;

    /** Creates the reply; no argument may be null. */
    public Reject(
            String senderAddress,
            String senderIdentity,
            String recipientIdentity,
            Ballot ballot,
            Ballot promisedBallot) {
        super(senderAddress, senderIdentity, recipientIdentity);
        this.ballot = Objects.requireNonNull(ballot);
        this.promisedBallot = Objects.requireNonNull(promisedBallot);
    }

    /** The rejected ballot. */
    public Ballot ballot() {
        return ballot;
    }

    /** The higher ballot that the sender has promised. */
    public Ballot promisedBallot() {
        return promisedBallot;
    }
}
