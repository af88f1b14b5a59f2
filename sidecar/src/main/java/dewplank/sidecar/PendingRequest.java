package dewplank.sidecar;

import dewplank.http.Headers;
import dewplank.net.TimerWheel;
import java.util.ArrayList;
import java.util.List;

/**
 * One request of a client, from its last byte to its final response and the end of its last attempt.
 *
 * <p>Its fields are the state that {@link OpenRequests}, {@link AttemptDispatcher} and {@link BalancerHost} share on
 * the event loop's thread.
 */
final class PendingRequest {
    /** Sends the final response in the client's protocol. One method is called, once, on the event loop's thread. */
    interface ResponseSink {
        /** Responds with a server's body and its end-to-end headers. */
        void respondServed(byte[] body, List<Headers.Field> headers);

        /** Rejects the request; {@code retryAfterMs} says when a retry makes sense, 0 for no advice. */
        void respondRejected(double retryAfterMs);

        /** The request may have run. */
        void respondFailed();
    }

    /**
     * What is forwarded to a server, the same on every attempt.
     *
     * @param id the client's trace id, also among the headers
     */
    record ForwardedRequest(String id, String method, String target, List<Headers.Field> headers, byte[] body) {}

    final long id;
    final ForwardedRequest forwarded;
    /** By the event loop's clock. */
    final double deadlineMs;

    final ResponseSink responses;
    /** By number; null for an attempt that never started. */
    final List<HttpAttempt> attempts = new ArrayList<>();

    int attemptsInFlight;
    boolean isComplete;
    TimerWheel.Timer deadlineGuard;

    PendingRequest(long id, ForwardedRequest forwarded, double deadlineMs, ResponseSink responses) {
        this.id = id;
        this.forwarded = forwarded;
        this.deadlineMs = deadlineMs;
        this.responses = responses;
    }
}
