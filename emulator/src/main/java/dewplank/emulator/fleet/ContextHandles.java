package dewplank.emulator.fleet;

import java.util.HashMap;
import java.util.Map;

/** What prefill servers keep for decode servers to fetch; on the loop's thread only. */
final class ContextHandles {
    private final History history;
    private final Map<String, String> owners = new HashMap<>();
    private int createdCount;

    ContextHandles(History history) {
        this.history = history;
    }

    String create(double now, ServerIdentity server, String attemptId) {
        String handle = "h" + ++createdCount;
        owners.put(server.address() + "/" + handle, attemptId);
        history.add(new FleetEvent.HandleCreated(now, server, handle, attemptId));
        return handle;
    }

    /** Whether what {@code IP:PORT/HANDLE} names could be fetched; it is gone then. */
    boolean fetch(double now, String from, String byAttemptId) {
        if (owners.remove(from) == null) {
            return false;
        }
        history.add(new FleetEvent.HandleFetched(now, from.substring(from.indexOf('/') + 1), byAttemptId));
        return true;
    }

    void free(double now, ServerIdentity server, String handle) {
        if (owners.remove(server.address() + "/" + handle) != null) {
            history.add(new FleetEvent.HandleFreed(now, handle));
        }
    }
}
