package dewplank.register;

import java.util.Objects;

/** Answer to {@link StatusQuery}. */
public final class StatusReport extends RegisterMessage {
    private final long question;
    private final Ballot accepted;
    private final AcceptorSet acceptors;
    private final Ballot chosen;
    private final long revision;
    private final RegisterValue value;

    /** Makes the message. */
    public StatusReport(
            String sender,
            String senderIdentity,
            String recipientIdentity,
            long question,
            Ballot accepted,
            AcceptorSet acceptors,
            Ballot chosen,
            long revision,
            RegisterValue value) {
        super(sender, senderIdentity, recipientIdentity);
        this.question = question;
        this.accepted = Objects.requireNonNull(accepted);
        this.acceptors = acceptors;
        this.chosen = Objects.requireNonNull(chosen);
        this.revision = revision;
        this.value = value;
    }

    /** The question answered. */
    public long question() {
        return question;
    }

    /** The ballot accepted last and kept. */
    public Ballot accepted() {
        return accepted;
    }

    /** The acceptors of the accepted value; null unless newer than the asker's chosen one. */
    public AcceptorSet acceptors() {
        return acceptors;
    }

    /** The newest chosen ballot known. */
    public Ballot chosen() {
        return chosen;
    }

    /** The revision of the chosen value; 0 before the first. */
    public long revision() {
        return revision;
    }

    /** The chosen value; null unless asked for and newer than the asker's. */
    public RegisterValue value() {
        return value;
    }
}
