package dewplank.register;

import java.util.Objects;

/** First phase of a ballot: requests a promise from an acceptor. Answered by {@link Promise} or {@link Reject}. */
public final class Prepare extends RegisterMessage {
    private final Ballot ballot;
    private final Ballot chosenBallot;

    /** Creates the request; no argument may be null. */
    public Prepare(
            String senderAddress, String senderIdentity, String recipientIdentity, Ballot ballot, Ballot chosenBallot) {
        super(senderAddress, senderIdentity, recipientIdentity);
        this.ballot = Objects.requireNonNull(ballot);
        this.chosenBallot = Objects.requireNonNull(chosenBallot);
    }

    /** The ballot to promise. */
    public Ballot ballot() {
        return ballot;
    }

    /** The newest chosen ballot of the proposer when the ballot began; the promise omits values up to it. */
    public Ballot chosenBallot() {
        return chosenBallot;
    }
}
