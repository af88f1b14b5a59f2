package dewplank.message;

import java.util.ArrayList;
import java.util.List;

/**
 * A control plane's reply to a {@link SessionHeartbeat} or a {@link ControlHeartbeat}, sent at once.
 *
 * <p>Without it the sender's heartbeat times out and it closes the connection.
 */
public final class HeartbeatAck {
    /** That of the heartbeat. */
    public final long sequence;

    /** Whether a quorum of the register recently confirmed that this control plane has the newest configuration. */
    public final boolean quorate;
    /** Addresses of all control planes that this one knows, for a session when this one fails. */
    public final List<String> controlAddresses;
    /** Null where no quorum has confirmed any, and from processes of releases before this field. */
    public final ConfirmedConfiguration confirmed;
    /** Of tenants' quotas, to a control plane by the one that assigns shares; null from all others. */
    public final QuotaShareGrant quotaShare;

    /** For Protostuff, which sets the fields and does not send an empty list. */
    private HeartbeatAck() {
        this.sequence = 0;
        this.quorate = false;
        this.controlAddresses = new ArrayList<>();
        this.confirmed = null;
        this.quotaShare = null;
    }

    /** A reply that confirms no configuration. */
    public HeartbeatAck(long sequence, boolean quorate, List<String> controlAddresses) {
        this(sequence, quorate, controlAddresses, null, null);
    }

    /** A reply to a data plane.
     *
     * @param confirmed null where no quorum has confirmed any
     */
    public HeartbeatAck(
            long sequence, boolean quorate, List<String> controlAddresses, ConfirmedConfiguration confirmed) {
        this(sequence, quorate, controlAddresses, confirmed, null);
    }

    /** A reply to a control plane.
     *
     * @param quotaShare null unless the sender assigns shares
     */
    public HeartbeatAck(long sequence, boolean quorate, List<String> controlAddresses, QuotaShareGrant quotaShare) {
        this(sequence, quorate, controlAddresses, null, quotaShare);
    }

    private HeartbeatAck(
            long sequence,
            boolean quorate,
            List<String> controlAddresses,
            ConfirmedConfiguration confirmed,
            QuotaShareGrant quotaShare) {
        this.sequence = sequence;
        this.quorate = quorate;
        this.controlAddresses = controlAddresses;
        this.confirmed = confirmed;
        this.quotaShare = quotaShare;
    }
}
