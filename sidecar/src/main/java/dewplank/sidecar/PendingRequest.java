package dewplank.sidecar;

import dewplank.http.Headers;
import dewplank.net.TimerWheel;
import java.util.ArrayList;
import java.util.List;

/**
 * A client's request, from its complete receipt until its final response and the end of its last attempt.
 *
 * <p>Its fields are the state that {@link OpenRequests}, {@link AttemptDispatcher} and {@link BalancerHost} share on
 * the event loop's thread.
 */
final class PendingRequest {
    /**
     * Sends the final response in the client's protocol. At most one method is called, once, on the event loop's
     * thread.
     */
    interface ResponseSink {
        /** Responds with a server's body and its end-to-end headers. */
        void respondServed(byte[] body, List<Headers.Field> headers);

        /** Rejects the request. {@code retryAfterMs} is the delay to suggest for a retry, or 0 for none. */
        void respondRejected(double retryAfterMs);

        /** Responds that the request failed; it may have run. */
        void respondFailed();
    }

    /**
     * A request as forwarded to a server, identical on every attempt.
     *
     * @param traceId the client's trace id, which is also one of the headers
     */
    record ForwardedRequest(String traceId, String method, String target, Headers headers, byte[] body) {}

    final long number;
    final ForwardedRequest forwarded;
    /** In event loop time. */
    final double deadlineMs;

    final ResponseSink responses;
    /** Attempts by number; null for an attempt that was not started. */
    final List<HttpAttempt> attempts = new ArrayList<>();

    int attemptsInFlight;
    boolean isComplete;
    TimerWheel.Timer deadlineTimer;

    PendingRequest(long number, ForwardedRequest forwarded, double deadlineMs, ResponseSink responses) {
        this.number = number;
        this.forwarded = forwarded;
        this.deadlineMs = deadlineMs;
        this.responses = responses;
    }
}
