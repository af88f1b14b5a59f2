package dewplank.emulator.fleet;

import dewplank.net.EventLoop;
import java.io.IOException;
import java.net.InetSocketAddress;

/** A server that answers each request whole. */
public final class PlainServer extends StandInServer {
    private static final double WORK_MS = 3;
    private int answers;

    PlainServer(EventLoop loop, History history, ServerIdentity identity, InetSocketAddress address)
            throws IOException {
        super(loop, history, identity, address);
    }

    @Override
    void take(Arrival a) {
        a.run();
        if (behaviour == Behaviour.SILENT) {
            return;
        }
        loop.after(WORK_MS, () -> {
            if (a.open()) {
                a.answer(
                        200,
                        identity().instanceId() + "." + ++answers,
                        a.tryId + " by " + identity().instanceId() + ": " + a.method + " " + a.target + " " + a.body);
            }
        });
    }
}
