package dewplank.sidecar;

import dewplank.http.Headers;
import dewplank.net.TimerWheel;
import java.util.ArrayList;
import java.util.List;

/** One request of a client, from its last byte to its final answer and the end of its last attempt. */
final class PendingRequest {
    /** The client's side, which sends the final answer in its own protocol. Called once. */
    interface ResponseSink {
        /** {@code headers}: those of the server's answer that are meant for the client. */
        void respondServed(byte[] body, List<Headers.Field> headers);

        void respondRejected(double retryAfterMs);

        void respondFailed();
    }

    /** What is passed on to a server, unchanged on every attempt; {@code id} is the client's, among the headers. */
    record ForwardedRequest(String id, String method, String target, List<Headers.Field> headers, byte[] body) {}

    final long id;
    final ForwardedRequest forwarded;
    final double deadlineMs;
    final ResponseSink responses;
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
