package dewplank.balancer;

/** How an attempt ended. What it proves about the request's effect is for the balancer to decide. */
public enum Outcome {
    SERVED,
    ERROR,
    /** The server had no capacity for it. */
    REJECTED,
    TIMED_OUT,
    CONNECT_FAILED,
    /** The connection ended before the answer did. */
    RESET,
    CANCELLED,
    /** Nothing of it left the host. */
    NEVER_SENT
}
