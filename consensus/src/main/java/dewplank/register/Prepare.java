package dewplank.register;

import java.util.Objects;

/** First phase of a ballot: requests a promise from an acceptor. The reply is {@link Promise} or {@link Reject}. */
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

    /** The newest ballot known to be chosen when the proposer started the round; the promise omits values up to it. */
    public Ballot chosenBallot() {
        return chosenBallot;
    }
}
