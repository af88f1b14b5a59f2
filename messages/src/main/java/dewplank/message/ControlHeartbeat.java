package dewplank.message;

import dewplank.membership.Member;
import java.util.ArrayList;
import java.util.List;

/**
 * The heartbeat between two control planes: the sender's open sessions and the control planes that it knows.
 *
 * <p>The receiver replies by a {@link HeartbeatAck}. From the sessions of all peers each control plane makes the
 * membership that it sends to data planes.
 */
public final class ControlHeartbeat {
    public final long sequence;
    public final List<Member> sessions;
    public final List<String> controlAddresses;
    /**
     * While the fleet is founded, what the sender has stored of founders without a disk, one text in the form of its
     * file; empty later, and from processes of releases before this field.
     */
    public final List<String> founders;
    /** The sender's share of tenants' quotas; null from processes of releases before this field. */
    public final QuotaShareReport quotaShare;

    /** For Protostuff, which sets the fields and does not send an empty list. */
    private ControlHeartbeat() {
        this.sequence = 0;
        this.sessions = new ArrayList<>();
        this.controlAddresses = new ArrayList<>();
        this.founders = new ArrayList<>();
        this.quotaShare = null;
    }

    /** A heartbeat once the fleet is founded. */
    public ControlHeartbeat(long sequence, List<Member> sessions, List<String> controlAddresses) {
        this(sequence, sessions, controlAddresses, List.of(), null);
    }

    /** A heartbeat while the fleet is founded. */
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
