package dewplank.register;

import java.util.Objects;

/** What the processes of one register tell each other. */
public abstract class RegisterMessage {
    /**
     * For whoever is reached. Questions are for any: a process that slept while all members' disks were replaced
     * would otherwise ask for ever under identities that are gone. The answer carries the identity that counts.
     */
    static final String ANY = "";

    private final String sender;
    private final String senderIdentity;
    private final String recipientIdentity;

    RegisterMessage(String sender, String senderIdentity, String recipientIdentity) {
        this.sender = Objects.requireNonNull(sender);
        this.senderIdentity = Objects.requireNonNull(senderIdentity);
        this.recipientIdentity = Objects.requireNonNull(recipientIdentity);
    }

    /** The address the sender is reached at. */
    public String sender() {
        return sender;
    }

    /** The identity of the sender's disk. */
    public String senderIdentity() {
        return senderIdentity;
    }

    /** The identity it is meant for; empty for any. */
    public String recipientIdentity() {
        return recipientIdentity;
    }

    /** The sender as an acceptor. */
    AcceptorId from() {
        return new AcceptorId(sender, senderIdentity);
    }
}
