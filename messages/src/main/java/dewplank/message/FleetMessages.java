package dewplank.message;

import dewplank.register.RegisterMessages;
import dewplank.singleton.VoteReply;
import dewplank.singleton.VoteRequest;
import java.util.ArrayList;
import java.util.List;

/** All kinds of messages between the system's processes, in the order that numbers them on the wire: add at the end. */
public final class FleetMessages {
    private FleetMessages() {}

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
        return new MessageCodec(types);
    }
}
