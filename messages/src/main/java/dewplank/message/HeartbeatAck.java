package dewplank.message;

import java.util.ArrayList;
import java.util.List;

/** The heartbeat of a session, and of a connection between control sidecars. */
public final class HeartbeatAck {
    public final long sequence;
    /** Whether a quorum of the register lately showed that the control sidecar knows the newest configuration. */
    public final boolean quorate;
    /** Addresses of all control sidecars known, to turn to when this one is gone. */
    public final List<String> controlAddresses;

    /** For Protostuff, which fills the fields and sends nothing for an empty list. */
    private HeartbeatAck() {
        this.sequence = 0;
        this.quorate = false;
        this.controlAddresses = new ArrayList<>();
    }

    public HeartbeatAck(long sequence, boolean quorate, List<String> controlAddresses) {
        this.sequence = sequence;
        this.quorate = quorate;
        this.controlAddresses = controlAddresses;
    }
}
