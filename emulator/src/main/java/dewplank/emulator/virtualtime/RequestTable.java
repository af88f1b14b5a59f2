package dewplank.emulator.virtualtime;

import dewplank.emulator.ClientAttempt;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/** The requests of one incarnation of a sidecar, by id. Confined to the scheduler thread. */
final class RequestTable {
    private final Map<Long, PendingRequest> requests = new HashMap<>();

    void add(ClientAttempt client) {
        requests.put(client.id(), new PendingRequest(client));
    }

    /** The request with the given id; empty once it is done. */
    Optional<PendingRequest> find(long id) {
        return Optional.ofNullable(requests.get(id));
    }

    /** The request with the given id if its client is still waiting for the response. */
    Optional<PendingRequest> findOpen(long id) {
        return find(id).filter(PendingRequest::isOpen);
    }

    /** Marks a request as finished, and removes it unless attempts are in flight. */
    void finish(PendingRequest request) {
        request.finish();
        removeIfDone(request);
    }

    /** Removes the request if it is finished and has no attempts in flight. */
    void removeIfDone(PendingRequest request) {
        if (request.isDone()) {
            requests.remove(request.client.id());
        }
    }

    /** Removes all requests, and returns them ordered by id. */
    List<PendingRequest> removeAll() {
        List<PendingRequest> removed = new ArrayList<>(requests.values());
        removed.sort(Comparator.comparingLong(request -> request.client.id()));
        requests.clear();
        return removed;
    }

    /** Number of attempts in flight over all requests. */
    int attemptsInFlight() {
        return requests.values().stream()
                .mapToInt(PendingRequest::inFlightCount)
                .sum();
    }
}
