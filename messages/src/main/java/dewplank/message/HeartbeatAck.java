package dewplank.message;

import java.util.ArrayList;
import java.util.List;

/**
 * A control plane's reply to a {@link SessionHeartbeat} or a {@link ControlHeartbeat}, sent immediately.
 *
 * <p>If the reply does not arrive, the heartbeat times out and its sender closes the connection.
 */
public final class HeartbeatAck {
    /** The sequence number of the heartbeat. */
    public final long sequence;

    /** Whether a quorum of the register recently confirmed that this control plane has the newest configuration. */
    public final boolean quorate;
    /** Addresses of all control planes known to this one; a data plane can open a session to them if this one fails. */
    public final List<String> controlAddresses;
    /** Null if no quorum has confirmed a configuration, and in messages from releases that lack this field. */
    public final ConfirmedConfiguration confirmed;
    /** The receiver's share of tenants' quotas; null unless the sender assigns shares to this control plane. */
    public final QuotaShareGrant quotaShare;

    /** Used by Protostuff, which then sets the fields; it does not send empty lists, so the list is set here. */
    private HeartbeatAck() {
        this.sequence = 0;
        this.quorate = false;
        this.controlAddresses = new ArrayList<>();
        this.confirmed = null;
        this.quotaShare = null;
    }

    /** Creates a reply without a confirmed configuration. */
    public HeartbeatAck(long sequence, boolean quorate, List<String> controlAddresses) {
        this(sequence, quorate, controlAddresses, null, null);
    }

    /**
     * Creates a reply to a data plane.
     *
     * @param confirmed null if no quorum has confirmed a configuration
     */
    public HeartbeatAck(
            long sequence, boolean quorate, List<String> controlAddresses, ConfirmedConfiguration confirmed) {
        this(sequence, quorate, controlAddresses, confirmed, null);
    }

    /**
     * Creates a reply to a control plane.
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
