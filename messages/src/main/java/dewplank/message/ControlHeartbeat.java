package dewplank.message;

import dewplank.membership.Member;
import java.util.ArrayList;
import java.util.List;

/** A control sidecar tells another the sessions that it holds, and the control sidecars that it knows. */
public final class ControlHeartbeat {
    public final long sequence;
    public final List<Member> sessions;
    public final List<String> controlAddresses;

    /** For Protostuff, which fills the fields and sends nothing for an empty list. */
    private ControlHeartbeat() {
        this.sequence = 0;
        this.sessions = new ArrayList<>();
        this.controlAddresses = new ArrayList<>();
    }

    public ControlHeartbeat(long sequence, List<Member> sessions, List<String> controlAddresses) {
        this.sequence = sequence;
        this.sessions = sessions;
        this.controlAddresses = controlAddresses;
    }
}
