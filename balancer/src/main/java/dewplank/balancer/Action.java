package dewplank.balancer;

/** What the host is to do, in the order of emission. Times are in milliseconds. */
public sealed interface Action {

    /**
     * Sends an attempt of a request. Attempts of a request are numbered from 0 in this order.
     *
     * @param timeoutMs after which the attempt ends as timed out; 0: when the client gives up
     * @param writeWithinMs what is not fully written by then is not sent and ends as {@code CONNECT_FAILED},
     *     because the right to repeat may end while a connection is being opened; infinite where nothing ends
     *     it
     */
    record Send(long request, String server, double timeoutMs, double writeWithinMs) implements Action {
        public Send(long request, String server, double timeoutMs) {
            this(request, server, timeoutMs, Double.POSITIVE_INFINITY);
        }
    }

    /** Cancels an attempt in flight. */
    record Cancel(long request, int attempt) implements Action {}

    /** Answers the client that nothing was done and that a retry is harmless. */
    record Reject(long request, double retryAfterMs) implements Action {}

    /** Answers the client that the outcome is unknown. */
    record Fail(long request) implements Action {}

    /** Asks for an {@link Event.TimerFired} after this time. */
    record SetTimer(long timer, double delayMs) implements Action {}

    /** Subscribes to the endpoint list. */
    record Subscribe() implements Action {}

    /** Sends a health check. */
    record CheckHealth(String server) implements Action {}

    /** Closes this instance's idle connections to the server. */
    record CloseIdleConnections(String server) implements Action {}

    /** Sends a summary to every peer; 256 bytes at most. */
    record BroadcastSummary(byte[] bytes) implements Action {}
}
