package dewplank.sidecar;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * The requests of clients that have no final response yet or still have attempts in flight.
 *
 * <p>{@link BalancerHost} and {@link AttemptDispatcher} call it on the event loop's thread. The class itself sends
 * nothing.
 */
final class OpenRequests {
    private final Map<Long, PendingRequest> byNumber = new HashMap<>();
    private final Set<String> traceIdsInUse = new HashSet<>();
    private long nextNumber = 1;

    /** Registers a request under the next number. The caller sets its deadline timer. */
    PendingRequest open(
            PendingRequest.ForwardedRequest forwarded, double deadlineMs, PendingRequest.ResponseSink sink) {
        PendingRequest request = new PendingRequest(nextNumber++, forwarded, deadlineMs, sink);
        byNumber.put(request.number, request);
        traceIdsInUse.add(forwarded.traceId());
        return request;
    }

    /** Returns the request with this number, or null if it has been released. */
    PendingRequest get(long number) {
        return byNumber.get(number);
    }

    /** Whether a request with this trace id has no final response yet. */
    boolean isTraceIdInUse(String traceId) {
        return traceIdsInUse.contains(traceId);
    }

    /** Marks the request as complete. Later results of its attempts are used for statistics only. */
    void complete(PendingRequest request) {
        request.isComplete = true;
        traceIdsInUse.remove(request.forwarded.traceId());
        request.deadlineTimer.cancel();
        releaseIfDone(request);
    }

    /** Releases the request once it is complete and its last attempt has ended. */
    void releaseIfDone(PendingRequest request) {
        if (request.isComplete && request.attemptsInFlight == 0) {
            byNumber.remove(request.number);
        }
    }

    /** Returns a copy of the registered requests, so that the caller may complete them while it iterates. */
    List<PendingRequest> snapshot() {
        return new ArrayList<>(byNumber.values());
    }

    /** Returns the number of requests without a final response. */
    int incompleteCount() {
        return (int) byNumber.values().stream()
                .filter(request -> !request.isComplete)
                .count();
    }

    boolean isEmpty() {
        return byNumber.isEmpty() && traceIdsInUse.isEmpty();
    }
}
