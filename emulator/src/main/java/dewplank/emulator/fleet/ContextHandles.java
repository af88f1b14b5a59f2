package dewplank.emulator.fleet;

import java.util.HashMap;
import java.util.Map;

/** What prefill servers keep for decode servers to fetch; on the loop's thread only. */
final class ContextHandles {
    private final History history;
    private final Map<String, String> keptFor = new HashMap<>();
    private int made;

    ContextHandles(History history) {
        this.history = history;
    }

    String make(double now, ServerIdentity server, String tryId) {
        String handle = "h" + ++made;
        keptFor.put(server.address() + "/" + handle, tryId);
        history.add(new FleetEvent.HandleCreated(now, server, handle, tryId));
        return handle;
    }

    /** Whether what {@code IP:PORT/HANDLE} names could be fetched; it is gone then. */
    boolean take(double now, String from, String byTryId) {
        if (keptFor.remove(from) == null) {
            return false;
        }
        history.add(new FleetEvent.HandleFetched(now, from.substring(from.indexOf('/') + 1), byTryId));
        return true;
    }

    void free(double now, ServerIdentity server, String handle) {
        if (keptFor.remove(server.address() + "/" + handle) != null) {
            history.add(new FleetEvent.HandleFreed(now, handle));
        }
    }
}
