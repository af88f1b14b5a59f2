package dewplank.dataplane;

import dewplank.exchange.InboundConnection;
import dewplank.net.Scheduler;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Requests that arrived before the first configuration and endpoint list. Both are received shortly after the start, if
 * at all, so the requests wait for them for a limited time. Not thread-safe; must be used on the event loop's thread
 * only.
 */
final class RequestsAwaitingMetadata {
    /** Maximum waiting time, longer than a process takes from its start until it receives its first configuration. */
    private static final double TIMEOUT_MS = 900;

    private static final int MAX_REQUESTS = 512;

    /**
     * A request that waits for the metadata.
     *
     * @param arrivedAt when its first byte arrived, which is when the request's time limit starts
     */
    private record PendingRequest(InboundConnection.Request request, double arrivedAt) {}

    /** Handles a released request. */
    interface Handler {
        void handle(InboundConnection.Request request, InboundConnection connection, double arrivedAt);
    }

    private final Scheduler loop;
    private final Map<InboundConnection, PendingRequest> pending = new LinkedHashMap<>();

    RequestsAwaitingMetadata(Scheduler loop) {
        this.loop = loop;
    }

    boolean isFull() {
        return pending.size() >= MAX_REQUESTS;
    }

    boolean isEmpty() {
        return pending.isEmpty();
    }

    int size() {
        return pending.size();
    }

    /**
     * Stores the request until it is released or dropped. Must not be called when full.
     *
     * @param onTimeout runs if the request is neither released nor dropped in time; the request has been removed by
     *     then
     */
    void add(InboundConnection.Request request, InboundConnection connection, Runnable onTimeout) {
        PendingRequest added = new PendingRequest(request, connection.waitingSince());
        pending.put(connection, added);
        loop.after(TIMEOUT_MS, () -> {
            if (pending.remove(connection, added)) {
                onTimeout.run();
            }
        });
    }

    /** Drops the request of a client that has disconnected, if there is one. */
    void drop(InboundConnection connection) {
        pending.remove(connection);
    }

    /** Passes all requests to the handler in the order in which they were added. */
    void releaseAll(Handler handler) {
        Map<InboundConnection, PendingRequest> released = new LinkedHashMap<>(pending);
        pending.clear();
        released.forEach((connection, next) -> handler.handle(next.request(), connection, next.arrivedAt()));
    }
}
