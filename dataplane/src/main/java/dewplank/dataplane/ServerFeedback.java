package dewplank.dataplane;

import dewplank.dataplane.Counters.Count;
import dewplank.exchange.HttpCall;
import dewplank.net.Scheduler;
import dewplank.routing.RoutingParameters;
import dewplank.routing.ServerPicker;

/**
 * Records the outcomes of attempts as health samples and backoffs, which affect later picks, and in the counters.
 * Shared by all requests of a forwarder; must be used on the event loop's thread only.
 */
final class ServerFeedback {
    private static final RoutingParameters.Backoff BACKOFF = RoutingParameters.DEFAULTS.backoff();

    private final Scheduler loop;
    private final ServerPicker picker;
    private final Counters counters;

    ServerFeedback(Scheduler loop, ServerPicker picker, Counters counters) {
        this.loop = loop;
        this.picker = picker;
        this.counters = counters;
    }

    /** Records whether a server handled a request of this route as a healthy server would. */
    void recordOutcome(Server server, String route, boolean healthy) {
        picker.recordOutcome(loop.now(), server.state, route, healthy);
    }

    /** Records that the server rejected a request, which does not affect its health. */
    void recordRejection(Server server, int status) {
        counters.add(Count.TURNED_AWAY);
        if (status != 421) {
            server.state.backOff(loop.now(), BACKOFF.rejectedMs(), BACKOFF.maxMs());
        }
    }

    /** Records a failed attempt and returns whether the request may have run in it. */
    Execution recordFailure(Server server, String route, HttpCall.Failure failure) {
        switch (failure) {
            case NOT_CONNECTED -> {
                counters.add(Count.CONNECT_FAILURES);
                server.state.backOff(loop.now(), BACKOFF.unreachableMs(), BACKOFF.maxMs());
                recordOutcome(server, route, false);
                return Execution.IMPOSSIBLE;
            }
            case NOT_SENT -> {
                counters.add(Count.CONNECT_FAILURES);
                server.state.backOff(loop.now(), BACKOFF.rejectedMs(), BACKOFF.maxMs());
                return Execution.IMPOSSIBLE;
            }
            case WITHHELD -> {
                return Execution.IMPOSSIBLE;
            }
            default -> {
                counters.add(Count.BROKEN);
                recordOutcome(server, route, false);
                return Execution.POSSIBLE;
            }
        }
    }
}
