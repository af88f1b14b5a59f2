package dewplank.message;

import dewplank.register.RegisterMessages;
import dewplank.singleton.VoteReply;
import dewplank.singleton.VoteRequest;
import java.util.ArrayList;
import java.util.List;

/** All message types between the fleet's processes. A type's index is its number on the wire: add types at the end. */
public final class FleetMessages {
    private FleetMessages() {}

    /** Returns a codec for these types; each event loop needs its own codec. */
    public static MessageCodec codec() {
        List<Class<?>> types = new ArrayList<>(List.of(
                ControlHello.class,
                SessionOpen.class,
                SessionHeartbeat.class,
                HeartbeatAck.class,
                FleetUpdate.class,
                ControlHeartbeat.class,
                EndpointList.class,
                VoteRequest.class,
                VoteReply.class));
        types.addAll(RegisterMessages.TYPES);
        types.addAll(List.of(QuotaRequest.class, QuotaReply.class));
        return new MessageCodec(types);
    }
}
