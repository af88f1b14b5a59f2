package dewplank.register;

import java.util.Objects;

/** Answer to {@link Prepare} or {@link Accept}: a higher ballot is promised. */
public final class Reject extends RegisterMessage {
    private final Ballot ballot;
    private final Ballot promised;

    /** Makes the message. */
    public Reject(String sender, String senderIdentity, String recipientIdentity, Ballot ballot, Ballot promised) {
        super(sender, senderIdentity, recipientIdentity);
        this.ballot = Objects.requireNonNull(ballot);
        this.promised = Objects.requireNonNull(promised);
    }

    /** The ballot refused. */
    public Ballot ballot() {
        return ballot;
    }

    /** The ballot promised. */
    public Ballot promised() {
        return promised;
    }
}
