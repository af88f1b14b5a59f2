package dewplank.register;

import java.util.Objects;

/** Positive reply to {@link Accept}: the sender has accepted the value and synced it. */
public final class Accepted extends RegisterMessage {
    private final Ballot ballot;

    /** Creates the reply; no argument may be null. */
    public Accepted(String senderAddress, String senderIdentity, String recipientIdentity, Ballot ballot) {
        super(senderAddress, senderIdentity, recipientIdentity);
        this.ballot = Objects.requireNonNull(ballot);
    }

    /** The ballot at which the value was accepted. */
    public Ballot ballot() {
        return ballot;
    }
}
