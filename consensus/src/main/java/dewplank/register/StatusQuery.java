package dewplank.register;

import java.util.Objects;

/**
 * Asks a process for its newest accepted and chosen ballots. Sent to read, by anti-entropy, and to fetch a value.
 * Answered by {@link StatusReport}.
 */
public final class StatusQuery extends RegisterMessage {
    private final long queryId;
    private final Ballot chosenBallot;
    private final boolean wantsValue;

    /** Creates the query; no argument may be null. */
    public StatusQuery(
            String senderAddress,
            String senderIdentity,
            String recipientIdentity,
            long queryId,
            Ballot chosenBallot,
            boolean wantsValue) {
        super(senderAddress, senderIdentity, recipientIdentity);
        this.queryId = queryId;
        this.chosenBallot = Objects.requireNonNull(chosenBallot);
        this.wantsValue = wantsValue;
    }

    /** Correlates the report; see {@link RequestIds}. */
    public long queryId() {
        return queryId;
    }

    /** The newest chosen ballot of the sender. */
    public Ballot chosenBallot() {
        return chosenBallot;
    }

    /** Whether the report is to include a chosen value that is newer than {@link #chosenBallot}. */
    public boolean wantsValue() {
        return wantsValue;
    }
}
