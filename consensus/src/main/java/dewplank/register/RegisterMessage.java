package dewplank.register;

import java.util.Objects;

/**
 * A message between two processes of one register. Messages may be lost, duplicated, delayed and reordered. Immutable.
 * Protostuff numbers the fields by their position in the class, so fields may be renamed but not moved, added or
 * removed.
 */
public abstract sealed class RegisterMessage
        permits Prepare, Promise, Accept, Accepted, Reject, StatusQuery, StatusReport, Chosen {
    /**
     * Recipient identity of a message to any disk at the address. Only status queries use it: a process that was
     * suspended while the disks of all members were replaced would otherwise address identities that no longer exist.
     * The report contains the actual identity.
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

    /** The identity of the recipient's disk; empty for any disk. */
    public String recipientIdentity() {
        return recipientIdentity;
    }

    /** The acceptor id of the sender. */
    AcceptorId senderId() {
        return new AcceptorId(senderAddress, senderIdentity);
    }
}
