package dewplank.register;

import java.util.Objects;

/** Answer to {@link Accept}: the value is accepted and kept. */
public final class Accepted extends RegisterMessage {
    private final Ballot ballot;

    /** Makes the message. */
    public Accepted(String sender, String senderIdentity, String recipientIdentity, Ballot ballot) {
        super(sender, senderIdentity, recipientIdentity);
        this.ballot = Objects.requireNonNull(ballot);
    }

    /** The ballot accepted. */
    public Ballot ballot() {
        return ballot;
    }
}
