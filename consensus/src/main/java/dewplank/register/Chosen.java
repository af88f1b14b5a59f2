package dewplank.register;

import java.util.Objects;

/** Tells that a value is chosen; whoever has not accepted it at this ballot fetches it from the sender. */
public final class Chosen extends RegisterMessage {
    private final Ballot ballot;
    private final long revision;

    /** Makes the message. */
    public Chosen(String sender, String senderIdentity, String recipientIdentity, Ballot ballot, long revision) {
        super(sender, senderIdentity, recipientIdentity);
        this.ballot = Objects.requireNonNull(ballot);
        this.revision = revision;
    }

    /** The ballot chosen. */
    public Ballot ballot() {
        return ballot;
    }

    /** The revision of the chosen value. */
    public long revision() {
        return revision;
    }
}
