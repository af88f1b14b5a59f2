package dewplank.emulator.virtualtime;

import dewplank.emulator.ClientAttempt;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/** The requests of one incarnation of a sidecar, by id. On the world's thread. */
final class RequestTable {
    private final Map<Long, PendingRequest> requests = new HashMap<>();

    void add(ClientAttempt client) {
        requests.put(client.id(), new PendingRequest(client));
    }

    /** Empty once the request is done. */
    Optional<PendingRequest> find(long id) {
        return Optional.ofNullable(requests.get(id));
    }

    /** The request if its client still waits for an answer. */
    Optional<PendingRequest> findOpen(long id) {
        return find(id).filter(PendingRequest::isOpen);
    }

    /** Ends the client's wait, and drops the request unless attempts are in flight. */
    void finish(PendingRequest request) {
        request.finish();
        removeIfDone(request);
    }

    /** Drops a request to which nothing more can happen. */
    void removeIfDone(PendingRequest request) {
        if (request.isDone()) {
            requests.remove(request.client.id());
        }
    }

    /** Empties the table; what it held, by id. */
    List<PendingRequest> removeAll() {
        List<PendingRequest> removed = new ArrayList<>(requests.values());
        removed.sort(Comparator.comparingLong(request -> request.client.id()));
        requests.clear();
        return removed;
    }

    /** Attempts in flight, of all requests. */
    int attemptsInFlight() {
        return requests.values().stream()
                .mapToInt(PendingRequest::inFlightCount)
                .sum();
    }
}
