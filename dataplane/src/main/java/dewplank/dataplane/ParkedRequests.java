package dewplank.dataplane;

import dewplank.exchange.InboundConnection;
import dewplank.net.Scheduler;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Requests that arrived before the first configuration and endpoint list. Both are received shortly after the start, if
 * at all, so the requests wait for them for a limited time. Used on the event loop's thread only.
 */
final class ParkedRequests {
    /** A process receives its first configuration within less time after its start. */
    private static final double TIMEOUT_MS = 900;

    private static final int MAX_PARKED = 512;

    /**
     * A parked request.
     *
     * @param arrivedAt when its first byte arrived, which is when the request's time limit starts
     */
    private record Parked(InboundConnection.Request request, double arrivedAt) {}

    /** Handles a released request. */
    interface Handler {
        void handle(InboundConnection.Request request, InboundConnection connection, double arrivedAt);
    }

    private final Scheduler loop;
    private final Map<InboundConnection, Parked> parked = new LinkedHashMap<>();

    ParkedRequests(Scheduler loop) {
        this.loop = loop;
    }

    boolean isFull() {
        return parked.size() >= MAX_PARKED;
    }

    boolean isEmpty() {
        return parked.isEmpty();
    }

    int size() {
        return parked.size();
    }

    /**
     * Stores the request until it is released or dropped. Must not be called when full.
     *
     * @param onTimeout runs if the request is neither released nor dropped in time; it is removed before
     */
    void park(InboundConnection.Request request, InboundConnection connection, Runnable onTimeout) {
        Parked waiting = new Parked(request, connection.waitingSince());
        parked.put(connection, waiting);
        loop.after(TIMEOUT_MS, () -> {
            if (parked.remove(connection, waiting)) {
                onTimeout.run();
            }
        });
    }

    /** Drops the request of a client that has disconnected, if there is one. */
    void drop(InboundConnection connection) {
        parked.remove(connection);
    }

    /** Passes all requests to the handler in the order in which they were parked. */
    void releaseAll(Handler handler) {
        Map<InboundConnection, Parked> released = new LinkedHashMap<>(parked);
        parked.clear();
        released.forEach((connection, waiting) -> handler.handle(waiting.request(), connection, waiting.arrivedAt()));
    }
}
