package dewplank.balancer;

/** How an attempt ended. The balancer infers whether the request may have had its effect. */
public enum Outcome {
    SERVED,
    ERROR,
    /** The server rejected the attempt for lack of capacity. */
    REJECTED,
    TIMED_OUT,
    CONNECT_FAILED,
    /** The connection closed before the response was complete. */
    RESET,
    CANCELLED,
    /** The host sent no part of the attempt. */
    NEVER_SENT
}
