package dewplank.configuration;

/** Determines whether a route's requests may be retried. */
public enum RouteType {
    /** Requests may run more than once. */
    SAFE,
    /** Requests run at most once. */
    UNSAFE,
    /** The response is a stream of events; requests run at most once unless the route is resumable. */
    STREAMING
}
