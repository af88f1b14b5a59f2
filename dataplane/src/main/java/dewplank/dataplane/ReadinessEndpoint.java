package dewplank.dataplane;

import dewplank.exchange.InboundConnection;
import dewplank.exchange.InboundConnections;
import dewplank.exchange.PathRouter;
import dewplank.net.EventLoop;
import java.util.function.BooleanSupplier;

/**
 * Responds to the platform's readiness checks with 200 while this data plane is ready for clients' requests, and with
 * 503 otherwise. Not thread-safe; must be used on the event loop's thread only.
 */
final class ReadinessEndpoint implements InboundConnection.Service {
    /**
     * Idle connections are closed after this time because the number of connections is limited. The platform checks
     * readiness once a second.
     */
    static final double MAX_IDLE_MS = 30_000;

    /** A connection that the platform keeps carries a check each second. */
    private static final double MIN_IDLE_MS = 3_000;

    private final EventLoop loop;
    private final PathRouter<Integer> router = new PathRouter<>();
    private final BooleanSupplier ready;
    private final InboundConnections connections = new InboundConnections();

    ReadinessEndpoint(EventLoop loop, BooleanSupplier ready) {
        this.loop = loop;
        this.ready = ready;
        router.path("readiness").on("GET", 200);
    }

    /** Creates the handler of a new connection. */
    InboundConnection newConnection() {
        return connections.open(loop, this);
    }

    /** Closes a connection that waits, if there is one, so that the next check is accepted. */
    void makeRoom() {
        connections.closeLongestWaiting(loop.now(), MIN_IDLE_MS);
    }

    /** Closes idle connections, because the other end's close may never arrive after a network partition. */
    void sweep() {
        connections.timeOutAfter(MAX_IDLE_MS);
    }

    @Override
    public void handle(InboundConnection.Request request, InboundConnection connection) {
        PathRouter.Match<Integer> match = router.find(request.method(), request.target());
        if (match.handler() != null) {
            connection.respond(ready.getAsBoolean() ? match.handler() : 503);
        } else {
            connection.respond(match.pathExists() ? 405 : 404);
        }
    }

    @Override
    public void clientDisconnected(InboundConnection connection) {}
}
