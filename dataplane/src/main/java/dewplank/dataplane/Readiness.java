package dewplank.dataplane;

import dewplank.exchange.CallTree;
import dewplank.exchange.InboundConnection;
import dewplank.net.EventLoop;
import java.util.function.BooleanSupplier;

/** Says whether this data plane takes clients' connections. */
final class Readiness implements InboundConnection.Service {
    private final EventLoop loop;
    private final CallTree<Integer> calls = new CallTree<>();
    private final BooleanSupplier ready;

    Readiness(EventLoop loop, BooleanSupplier ready) {
        this.loop = loop;
        this.ready = ready;
        calls.path("readiness").on("GET", 200);
    }

    InboundConnection connection() {
        return new InboundConnection(loop, this);
    }

    @Override
    public void handle(InboundConnection.Request request, InboundConnection caller) {
        CallTree.Match<Integer> match = calls.find(request.method(), request.target());
        int known = match.handler() != null ? match.handler() : match.pathKnown() ? 405 : 404;
        caller.answer(known == 200 && !ready.getAsBoolean() ? 503 : known);
    }

    @Override
    public void gone(InboundConnection caller) { }
}
