package dewplank.register;

import java.util.Objects;

/** Asks how far a process is. */
public final class StatusQuery extends RegisterMessage {
    private final long question;
    private final Ballot chosen;
    private final boolean fetching;

    /** Makes the message. */
    public StatusQuery(
            String sender,
            String senderIdentity,
            String recipientIdentity,
            long question,
            Ballot chosen,
            boolean fetching) {
        super(sender, senderIdentity, recipientIdentity);
        this.question = question;
        this.chosen = Objects.requireNonNull(chosen);
        this.fetching = fetching;
    }

    /** Comes back with the answer. */
    public long question() {
        return question;
    }

    /** The newest chosen ballot the asker knows. */
    public Ballot chosen() {
        return chosen;
    }

    /** Whether a newer chosen value is to be sent whole. */
    public boolean fetching() {
        return fetching;
    }
}
