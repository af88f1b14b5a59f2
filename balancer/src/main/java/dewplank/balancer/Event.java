package dewplank.balancer;

import java.util.List;

/** What has happened at the host, as handed to {@link Balancer#handle}. Times are in milliseconds. */
public sealed interface Event {

    /** What an {@link EndpointUpdate} holds. */
    enum UpdateKind {
        /** The endpoints that changed. */
        INCREMENTAL,
        /** All endpoints: one that is not named has gone. */
        FULL,
        /** A full list from the host's own store, which may be out of date. */
        CACHED,
        /** Nothing: the subscription broke. */
        BROKEN
    }

    /** News of the endpoint list, or of its subscription. */
    record EndpointUpdate(UpdateKind kind, List<Endpoint> endpoints) implements Event {}

    /**
     * A client's request has come.
     *
     * @param tenant null where none is stated
     * @param key that identifies repeats and cached work; null where none is stated
     * @param isRepeat whether the client has sent it before
     * @param requestClass a class that the settings name
     * @param budgetMs the time left until the client gives up
     * @param costMs expected work in milliseconds of a standard core, or null
     */
    record RequestArrived(
            long request,
            String tenant,
            String key,
            boolean isRepeat,
            String requestClass,
            double budgetMs,
            Double costMs)
            implements Event {}

    /** An attempt's answer, a stream, has started. */
    record StreamStarted(long request, int attempt, double elapsedMs) implements Event {}

    /**
     * An attempt has ended. Each {@link Action.Send} is followed by exactly one.
     *
     * @param requestIsOver whether the request has its final answer, by this outcome or earlier
     * @param loadReport the figures that the settings name, or null
     */
    record AttemptEnded(
            long request,
            int attempt,
            String server,
            Outcome outcome,
            double elapsedMs,
            boolean requestIsOver,
            double[] loadReport)
            implements Event {}

    /** The client has left, or its time ran out. */
    record RequestAbandoned(long request) implements Event {}

    /** A timer set by {@link Action.SetTimer} has run out. */
    record TimerFired(long timer) implements Event {}

    /** A health check, sent for {@link Action.CheckHealth}, has ended. */
    record HealthChecked(String server, boolean isServing, double elapsedMs, double[] loadReport) implements Event {}

    /** A peer's summary has come: untrusted bytes, possibly torn, late or repeated. */
    record PeerSummaryReceived(int peer, byte[] bytes) implements Event {}
}
