package dewplank.configuration;

/** What may be retried of a route's requests. */
public enum RouteType {
    /** Requests may run more than once. */
    SAFE,
    /** Requests run at most once. */
    UNSAFE,
    /** The answer is a series of events; at most once unless the route is resumable. */
    STREAMING
}
