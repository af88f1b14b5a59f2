package dewplank.register;

import java.util.Objects;

/**
 * Queries the newest accepted and chosen ballots of a process. Sent by reads and by anti-entropy, and to fetch a value.
 * The reply is {@link StatusReport}.
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

    /** The id that the report repeats; see {@link QueryIds}. */
    public long queryId() {
        return queryId;
    }

    /** The newest chosen ballot that is recorded at the sender. */
    public Ballot chosenBallot() {
        return chosenBallot;
    }

    /** Whether the report should include a chosen value that is newer than {@link #chosenBallot}. */
    public boolean wantsValue() {
        return wantsValue;
    }
}
