package dewplank.emulator.fleet;

import java.util.HashMap;
import java.util.Map;

/** The KV caches that prefill servers keep for decode servers, by handle; on the loop's thread only. */
final class ContextHandles {
    private final History history;
    private final Map<String, String> owners = new HashMap<>();
    private int createdCount;

    ContextHandles(History history) {
        this.history = history;
    }

    /** Keeps a cache for an attempt; its handle. */
    String create(double now, ServerIdentity server, String attemptId) {
        String handle = "h" + ++createdCount;
        owners.put(server.address() + "/" + handle, attemptId);
        history.add(new FleetEvent.HandleCreated(now, server, handle, attemptId));
        return handle;
    }

    /** Fetches and removes the cache of {@code IP:PORT/HANDLE}; whether there was one. */
    boolean fetch(double now, String from, String byAttemptId) {
        if (owners.remove(from) == null) {
            return false;
        }
        history.add(new FleetEvent.HandleFetched(now, from.substring(from.indexOf('/') + 1), byAttemptId));
        return true;
    }

    /** Drops a cache; nothing where it was fetched or freed before. */
    void free(double now, ServerIdentity server, String handle) {
        if (owners.remove(server.address() + "/" + handle) != null) {
            history.add(new FleetEvent.HandleFreed(now, handle));
        }
    }
}
