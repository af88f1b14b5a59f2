package dewplank.register;

import java.util.Objects;

/** Second round: asks an acceptor to accept a value. */
public final class Accept extends RegisterMessage {
    private final Ballot ballot;
    private final RegisterValue value;

    /** Makes the message. */
    public Accept(String sender, String senderIdentity, String recipientIdentity, Ballot ballot, RegisterValue value) {
        super(sender, senderIdentity, recipientIdentity);
        this.ballot = Objects.requireNonNull(ballot);
        this.value = Objects.requireNonNull(value);
    }

    /** The ballot of the value. */
    public Ballot ballot() {
        return ballot;
    }

    /** The value to accept. */
    public RegisterValue value() {
        return value;
    }
}
