package dewplank.emulator.fleet;

import java.util.HashMap;
import java.util.Map;

/** The KV caches that prefill servers store for decode servers, by handle. Used only on the loop's thread. */
final class ContextHandles {
    private final History history;
    private final Map<String, String> owners = new HashMap<>();
    private int createdCount;

    ContextHandles(History history) {
        this.history = history;
    }

    /** Stores a cache for an attempt and returns its handle. */
    String create(double now, ServerIdentity server, String attemptId) {
        String handle = "h" + ++createdCount;
        owners.put(server.address() + "/" + handle, attemptId);
        history.add(new FleetEvent.HandleCreated(now, server, handle, attemptId));
        return handle;
    }

    /** Fetches and removes the cache at {@code IP:PORT/HANDLE}; returns false if there is none. */
    boolean fetch(double now, String from, String byAttemptId) {
        if (owners.remove(from) == null) {
            return false;
        }
        history.add(new FleetEvent.HandleFetched(now, from.substring(from.indexOf('/') + 1), byAttemptId));
        return true;
    }

    /** Drops a cache; does nothing if it was fetched or freed before. */
    void free(double now, ServerIdentity server, String handle) {
        if (owners.remove(server.address() + "/" + handle) != null) {
            history.add(new FleetEvent.HandleFreed(now, handle));
        }
    }
}
