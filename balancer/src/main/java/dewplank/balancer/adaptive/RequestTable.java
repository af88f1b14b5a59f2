package dewplank.balancer.adaptive;

import java.util.HashMap;
import java.util.Map;

/** The requests that are not complete or still have attempts in flight. */
final class RequestTable {
    private final Map<Long, PendingRequest> requests = new HashMap<>();

    void add(PendingRequest request) {
        requests.put(request.id, request);
    }

    /** The request, or null. */
    PendingRequest find(long id) {
        return requests.get(id);
    }

    /** The attempt, or null if it was never sent or its request has been removed. */
    Attempt findAttempt(long id, int number) {
        PendingRequest request = requests.get(id);
        return request == null || number >= request.attempts.size() ? null : request.attempts.get(number);
    }

    void removeIfDone(PendingRequest request) {
        if (request.isComplete && !request.hasAttemptInFlight()) {
            requests.remove(request.id);
        }
    }
}
