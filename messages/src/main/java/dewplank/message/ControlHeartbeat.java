package dewplank.message;

import dewplank.membership.Member;
import java.util.ArrayList;
import java.util.List;

/**
 * The heartbeat between two control planes, with the sender's open sessions and the control planes that it knows.
 *
 * <p>The receiver replies with a {@link HeartbeatAck}. Each control plane combines the sessions of all peers into the
 * membership that it sends to data planes.
 */
public final class ControlHeartbeat {
    public final long sequence;
    public final List<Member> sessions;
    public final List<String> controlAddresses;
    /**
     * While the fleet is bootstrapped: the contents of the file in which the sender stores the founders without a disk,
     * as a single text. Empty afterwards, and in messages from releases that lack this field.
     */
    public final List<String> founders;
    /** The sender's share of tenants' quotas; null in messages from releases that lack this field. */
    public final QuotaShareReport quotaShare;

    /** Used by Protostuff, which then sets the fields; it does not send empty lists, so they are set here. */
    private ControlHeartbeat() {
        this.sequence = 0;
        this.sessions = new ArrayList<>();
        this.controlAddresses = new ArrayList<>();
        this.founders = new ArrayList<>();
        this.quotaShare = null;
    }

    /** Creates a heartbeat for use after the fleet's bootstrap. */
    public ControlHeartbeat(long sequence, List<Member> sessions, List<String> controlAddresses) {
        this(sequence, sessions, controlAddresses, List.of(), null);
    }

    /** Creates a heartbeat for use during the fleet's bootstrap. */
    public ControlHeartbeat(
            long sequence,
            List<Member> sessions,
            List<String> controlAddresses,
            List<String> founders,
            QuotaShareReport quotaShare) {
        this.quotaShare = quotaShare;
        this.founders = founders;
        this.sequence = sequence;
        this.sessions = sessions;
        this.controlAddresses = controlAddresses;
    }
}
