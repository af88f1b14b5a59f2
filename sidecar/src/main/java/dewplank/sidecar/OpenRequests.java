package dewplank.sidecar;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * The clients' requests that have no final response yet, or attempts still in flight.
 *
 * <p>{@link BalancerHost} and {@link AttemptDispatcher} call it on the event loop's thread. It sends nothing itself.
 */
final class OpenRequests {
    private final Map<Long, PendingRequest> byNumber = new HashMap<>();
    private final Set<String> idsInUse = new HashSet<>();
    private long nextNumber = 1;

    /** Registers a request under the next number. The caller sets its deadline guard. */
    PendingRequest open(
            PendingRequest.ForwardedRequest forwarded, double deadlineMs, PendingRequest.ResponseSink sink) {
        PendingRequest request = new PendingRequest(nextNumber++, forwarded, deadlineMs, sink);
        byNumber.put(request.id, request);
        idsInUse.add(forwarded.id());
        return request;
    }

    /** The request of this number, or null once it is released. */
    PendingRequest get(long number) {
        return byNumber.get(number);
    }

    /** Whether a request with this id of the client's has no final response yet. */
    boolean isIdInUse(String id) {
        return idsInUse.contains(id);
    }

    /** Marks the request as complete. From here on its attempts' results are only statistics. */
    void complete(PendingRequest request) {
        request.isComplete = true;
        idsInUse.remove(request.forwarded.id());
        request.deadlineGuard.cancel();
        releaseIfDone(request);
    }

    /** Drops the request once it is complete and its last attempt has ended. */
    void releaseIfDone(PendingRequest request) {
        if (request.isComplete && request.attemptsInFlight == 0) {
            byNumber.remove(request.id);
        }
    }

    /** All that are registered now. The caller may complete them while it goes through the list. */
    List<PendingRequest> snapshot() {
        return new ArrayList<>(byNumber.values());
    }

    /** How many have no final response yet. */
    int incompleteCount() {
        return (int) byNumber.values().stream()
                .filter(request -> !request.isComplete)
                .count();
    }

    boolean isEmpty() {
        return byNumber.isEmpty() && idsInUse.isEmpty();
    }
}
