package dewplank.register;

import java.util.Objects;

/** Reply to {@link StatusQuery}: the sender's accepted ballot, which is synced, and its newest chosen ballot. */
public final class StatusReport extends RegisterMessage {
    private final long queryId;
    private final Ballot acceptedBallot;
    private final AcceptorSet acceptedAcceptors;
    private final Ballot chosenBallot;
    private final long chosenRevision;
    private final RegisterValue chosenValue;

    /** Creates the report; only {@code acceptedAcceptors} and {@code chosenValue} may be null. */
    public StatusReport(
            String senderAddress,
            String senderIdentity,
            String recipientIdentity,
            long queryId,
            Ballot acceptedBallot,
            AcceptorSet acceptedAcceptors,
            Ballot chosenBallot,
            long chosenRevision,
            RegisterValue chosenValue) {
        super(senderAddress, senderIdentity, recipientIdentity);
        this.queryId = queryId;
        this.acceptedBallot = Objects.requireNonNull(acceptedBallot);
        this.acceptedAcceptors = acceptedAcceptors;
        this.chosenBallot = Objects.requireNonNull(chosenBallot);
        this.chosenRevision = chosenRevision;
        this.chosenValue = chosenValue;
    }

    /** The id of the query to which this report replies. */
    public long queryId() {
        return queryId;
    }

    /** The last accepted ballot that is synced. */
    public Ballot acceptedBallot() {
        return acceptedBallot;
    }

    /** The acceptors of the accepted value; null unless it is newer than {@link StatusQuery#chosenBallot}. */
    public AcceptorSet acceptedAcceptors() {
        return acceptedAcceptors;
    }

    /** The newest chosen ballot that is recorded at the sender. */
    public Ballot chosenBallot() {
        return chosenBallot;
    }

    /** The revision of the chosen value; 0 if there is none. */
    public long chosenRevision() {
        return chosenRevision;
    }

    /** The chosen value; null unless requested and newer than {@link StatusQuery#chosenBallot}. */
    public RegisterValue chosenValue() {
        return chosenValue;
    }
}
