package dewplank.balancer;

import java.util.List;

/** An event at the host, passed to {@link Balancer#handle}. Times are in milliseconds. */
public sealed interface Event {

    /** The content of an {@link EndpointUpdate}. */
    enum UpdateKind {
        /** Only the endpoints that changed. */
        INCREMENTAL,
        /** All endpoints; an endpoint that is missing has been removed. */
        FULL,
        /** A full list from the host's cache, which may be out of date. */
        CACHED,
        /** No endpoints: the subscription was interrupted. */
        BROKEN
    }

    /** A change of the endpoint list or of its subscription. */
    record EndpointUpdate(UpdateKind kind, List<Endpoint> endpoints) implements Event {}

    /**
     * A request arrived from a client.
     *
     * @param tenant null if the request names none
     * @param key identifies repeats of the request and its cached result; null if the request has none
     * @param isRepeat whether the client has sent the request before
     * @param requestClass the name of a class in the settings
     * @param budgetMs the remaining time until the client's deadline
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

    /** The streaming response to an attempt has started. */
    record StreamStarted(long request, int attempt, double elapsedMs) implements Event {}

    /**
     * An attempt has ended. Each {@link Action.Send} is followed by exactly one such event.
     *
     * @param requestIsOver whether the request has its final response, from this attempt or an earlier one
     * @param loadReport the values of the load report fields in the settings, or null
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

    /** The client has disconnected, or the request's deadline has passed. */
    record RequestAbandoned(long request) implements Event {}

    /** A timer set by {@link Action.SetTimer} has expired. */
    record TimerFired(long timer) implements Event {}

    /** A health check requested by {@link Action.CheckHealth} has ended. */
    record HealthChecked(String server, boolean isServing, double elapsedMs, double[] loadReport) implements Event {}

    /** A peer's summary was received. The bytes are untrusted: possibly truncated, delayed or duplicated. */
    record PeerSummaryReceived(int peer, byte[] bytes) implements Event {}
}
