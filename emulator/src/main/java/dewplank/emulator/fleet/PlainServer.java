package dewplank.emulator.fleet;

import dewplank.net.EventLoop;
import java.io.IOException;
import java.net.InetSocketAddress;

/** A server for requests without stages; each response contains the attempt's id and the request. */
public final class PlainServer extends StandInServer {
    private static final double WORK_MS = 3;
    private int responseCount;

    PlainServer(EventLoop loop, History history, ServerIdentity identity, InetSocketAddress address)
            throws IOException {
        super(loop, history, identity, address);
    }

    @Override
    void handle(Arrival arrival) {
        arrival.startRun();
        if (behaviour == Behaviour.UNRESPONSIVE) {
            return;
        }
        loop.after(WORK_MS, () -> {
            if (arrival.isOpen()) {
                arrival.respond(
                        200,
                        identity().instanceId() + "." + ++responseCount,
                        arrival.attemptId + " by " + identity().instanceId() + ": " + arrival.method + " "
                                + arrival.target + " " + arrival.body);
            }
        });
    }
}
