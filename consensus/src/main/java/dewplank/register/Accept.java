package dewplank.register;

import java.util.Objects;

/**
 * Second phase of a ballot: requests that an acceptor accept a value. The reply is {@link Accepted} or
 * {@link Reject}.
 */
public final class Accept extends RegisterMessage {
    private final Ballot ballot;
    private final RegisterValue value;

    /** Creates the request; no argument may be null. */
    public Accept(
            String senderAddress, String senderIdentity, String recipientIdentity, Ballot ballot, RegisterValue value) {
        super(senderAddress, senderIdentity, recipientIdentity);
        this.ballot = Objects.requireNonNull(ballot);
        this.value = Objects.requireNonNull(value);
    }

    /** The ballot at which the value is proposed. */
    public Ballot ballot() {
        return ballot;
    }

    /** The value to accept. */
    public RegisterValue value() {
        return value;
    }
}
