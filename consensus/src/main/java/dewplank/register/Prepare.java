package dewplank.register;

import java.util.Objects;

/** First round: asks an acceptor to promise a ballot. */
public final class Prepare extends RegisterMessage {
    private final Ballot ballot;
    private final Ballot known;

    /** Makes the message. */
    public Prepare(String sender, String senderIdentity, String recipientIdentity, Ballot ballot, Ballot known) {
        super(sender, senderIdentity, recipientIdentity);
        this.ballot = Objects.requireNonNull(ballot);
        this.known = Objects.requireNonNull(known);
    }

    /** The ballot to promise. */
    public Ballot ballot() {
        return ballot;
    }

    /** The newest chosen ballot the proposer knows; values up to it need not be sent. */
    public Ballot known() {
        return known;
    }
}
