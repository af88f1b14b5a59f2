package dewplank.register;

import java.util.Objects;

/** Answer to {@link Prepare}: nothing below the ballot will be accepted any more. */
public final class Promise extends RegisterMessage {
    private final Ballot ballot;
    private final Ballot accepted;
    private final RegisterValue value;

    /** Makes the message. */
    public Promise(
            String sender,
            String senderIdentity,
            String recipientIdentity,
            Ballot ballot,
            Ballot accepted,
            RegisterValue value) {
        super(sender, senderIdentity, recipientIdentity);
        this.ballot = Objects.requireNonNull(ballot);
        this.accepted = Objects.requireNonNull(accepted);
        this.value = value;
    }

    /** The ballot promised. */
    public Ballot ballot() {
        return ballot;
    }

    /** The ballot accepted last. */
    public Ballot accepted() {
        return accepted;
    }

    /** The value accepted last; null where there is none or the proposer knows it or a newer one. */
    public RegisterValue value() {
        return value;
    }
}
