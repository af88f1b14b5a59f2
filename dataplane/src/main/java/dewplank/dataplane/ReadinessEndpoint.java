package dewplank.dataplane;

import dewplank.exchange.InboundConnection;
import dewplank.exchange.PathRouter;
import dewplank.net.EventLoop;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.function.BooleanSupplier;

/**
 * Answers the platform's readiness checks: 200 while this data plane takes clients' connections, else 503. On the event
 * loop's thread only.
 */
final class ReadinessEndpoint implements InboundConnection.Service {
    /** The platform checks each second; a connection that is idle for long would take the place of another one. */
    static final double MAX_IDLE_MS = 30_000;

    private final EventLoop loop;
    private final PathRouter<Integer> router = new PathRouter<>();
    private final BooleanSupplier ready;
    private final Set<InboundConnection> connections = new HashSet<>();

    ReadinessEndpoint(EventLoop loop, BooleanSupplier ready) {
        this.loop = loop;
        this.ready = ready;
        router.path("readiness").on("GET", 200);
    }

    /** The handler of a new connection. */
    InboundConnection newConnection() {
        InboundConnection connection = new InboundConnection(loop, this);
        connections.add(connection);
        return connection;
    }

    /** Ends idle connections: behind a network partition the other end's close may never come. */
    void sweep() {
        List.copyOf(connections).forEach(c -> c.timeOutAfter(MAX_IDLE_MS));
    }

    @Override
    public void connectionEnded(InboundConnection caller) {
        connections.remove(caller);
    }

    @Override
    public void handle(InboundConnection.Request request, InboundConnection caller) {
        PathRouter.Match<Integer> match = router.find(request.method(), request.target());
        if (match.handler() != null) {
            caller.answer(ready.getAsBoolean() ? match.handler() : 503);
        } else {
            caller.answer(match.pathExists() ? 405 : 404);
        }
    }

    @Override
    public void callerGone(InboundConnection caller) {}
}
