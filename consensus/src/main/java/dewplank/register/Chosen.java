package dewplank.register;

import java.util.Objects;

/** Announces that a value is chosen. A recipient that did not accept it at this ballot fetches it from the sender. */
public final class Chosen extends RegisterMessage {
    private final Ballot ballot;
    private final long revision;

    /** Creates the announcement; no argument may be null. */
    public Chosen(String senderAddress, String senderIdentity, String recipientIdentity, Ballot ballot, long revision) {
        super(senderAddress, senderIdentity, recipientIdentity);
        this.ballot = Objects.requireNonNull(ballot);
        this.revision = revision;
    }

    /** The ballot at which the value is chosen. */
    public Ballot ballot() {
        return ballot;
    }

    /** The revision of the chosen value. */
    public long revision() {
        return revision;
    }
}
