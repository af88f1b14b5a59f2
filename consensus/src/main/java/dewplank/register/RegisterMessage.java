package dewplank.register;

import java.util.Objects;

/**
 * A message between two processes of one register. Messages may be lost, duplicated, delayed and reordered. Immutable;
 * Protostuff numbers the fields by their place in the class, so fields may be renamed but not moved, added or removed.
 */
public abstract sealed class RegisterMessage
        permits Prepare, Promise, Accept, Accepted, Reject, StatusQuery, StatusReport, Chosen {
    /**
     * Recipient identity of a message for any disk at the address. Only status queries use it: a process that was
     * suspended while all members' disks were replaced would otherwise address identities that are gone. The report
     * names the identity that counts.
     */
    static final String ANY_IDENTITY = "";

    private final String senderAddress;
    private final String senderIdentity;
    private final String recipientIdentity;

    RegisterMessage(String senderAddress, String senderIdentity, String recipientIdentity) {
        this.senderAddress = Objects.requireNonNull(senderAddress);
        this.senderIdentity = Objects.requireNonNull(senderIdentity);
        this.recipientIdentity = Objects.requireNonNull(recipientIdentity);
    }

    /** The address of the sender, as IP:PORT. */
    public String senderAddress() {
        return senderAddress;
    }

    /** The identity of the sender's disk. */
    public String senderIdentity() {
        return senderIdentity;
    }

    /** The identity of the disk that the message is for; empty for any. */
    public String recipientIdentity() {
        return recipientIdentity;
    }

    /** The sender as an acceptor. */
    AcceptorId senderId() {
        return new AcceptorId(senderAddress, senderIdentity);
    }
}
