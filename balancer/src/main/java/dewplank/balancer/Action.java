package dewplank.balancer;

/** An action that the host carries out, in the order of emission. Times are in milliseconds. */
public sealed interface Action {

    /**
     * Sends an attempt of a request. The attempts of a request are numbered from 0 in the order of their
     * sends.
     *
     * @param timeoutMs the time after which the attempt ends as timed out; 0: it may run until the
     *     request's deadline
     * @param writeWithinMs the time within which the attempt must be written completely; otherwise it is
     *     not sent and ends as {@code CONNECT_FAILED}, because the deduplication window for a repeat may
     *     close while a connection is being opened; infinite if there is no limit
     */
    record Send(long request, String server, double timeoutMs, double writeWithinMs) implements Action {
        public Send(long request, String server, double timeoutMs) {
            this(request, server, timeoutMs, Double.POSITIVE_INFINITY);
        }
    }

    /** Cancels an attempt in flight. */
    record Cancel(long request, int attempt) implements Action {}

    /** Responds to the client that the request had no effect and that a retry is harmless. */
    record Reject(long request, double retryAfterMs) implements Action {}

    /** Responds to the client that the outcome of the request is unknown. */
    record Fail(long request) implements Action {}

    /** Sets a timer, which fires as {@link Event.TimerFired} after the delay. */
    record SetTimer(long timer, double delayMs) implements Action {}

    /** Subscribes to the endpoint list. */
    record Subscribe() implements Action {}

    /** Sends a health check. */
    record CheckHealth(String server) implements Action {}

    /** Closes this instance's idle connections to the server. */
    record CloseIdleConnections(String server) implements Action {}

    /** Sends a summary of at most 256 bytes to every peer. */
    record BroadcastSummary(byte[] bytes) implements Action {}
}
