package dewplank.dataplane;

import dewplank.exchange.InboundConnection;
import dewplank.exchange.PathRouter;
import dewplank.net.EventLoop;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.function.BooleanSupplier;

/** Says whether this data plane takes clients' connections. */
final class ReadinessEndpoint implements InboundConnection.Service {
    /** The platform asks each second; only so many connections are taken at once. */
    static final double MOST_IDLE_MS = 30_000;

    private final EventLoop loop;
    private final PathRouter<Integer> calls = new PathRouter<>();
    private final BooleanSupplier ready;
    private final Set<InboundConnection> connections = new HashSet<>();

    ReadinessEndpoint(EventLoop loop, BooleanSupplier ready) {
        this.loop = loop;
        this.ready = ready;
        calls.path("readiness").on("GET", 200);
    }

    InboundConnection connection() {
        InboundConnection connection = new InboundConnection(loop, this);
        connections.add(connection);
        return connection;
    }

    /** Gives up connections whose other end has said nothing for long: behind a cut its close may never come. */
    void sweep() {
        List.copyOf(connections).forEach(c -> c.timeOutAfter(MOST_IDLE_MS));
    }

    @Override
    public void connectionEnded(InboundConnection caller) {
        connections.remove(caller);
    }

    @Override
    public void handle(InboundConnection.Request request, InboundConnection caller) {
        PathRouter.Match<Integer> match = calls.find(request.method(), request.target());
        int known = match.handler() != null ? match.handler() : match.pathExists() ? 405 : 404;
        caller.answer(known == 200 && !ready.getAsBoolean() ? 503 : known);
    }

    @Override
    public void callerGone(InboundConnection caller) {}
}
