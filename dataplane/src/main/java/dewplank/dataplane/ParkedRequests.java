package dewplank.dataplane;

import dewplank.exchange.InboundConnection;
import dewplank.net.Scheduler;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Requests that came before there was a configuration and an endpoint list: what is needed to serve them comes within
 * moments of the start, if at all. On the event loop's thread only.
 */
final class ParkedRequests {
    /** From the start of a process to its first configuration takes less. */
    private static final double TIMEOUT_MS = 900;

    private static final int MAX_PARKED = 512;

    /**
     * One request that waits.
     *
     * @param arrivedAt when its first byte came: its client's time counts from there
     */
    private record Parked(InboundConnection.Request request, double arrivedAt) {}

    /** Takes a request that has waited long enough. */
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
     * Keeps the request until it is released or dropped; not to be called when full.
     *
     * @param timedOut runs when it has waited too long; it is dropped then
     */
    void park(InboundConnection.Request request, InboundConnection connection, Runnable timedOut) {
        Parked waiting = new Parked(request, connection.waitingSince());
        parked.put(connection, waiting);
        loop.after(TIMEOUT_MS, () -> {
            if (parked.remove(connection, waiting)) {
                timedOut.run();
            }
        });
    }

    /** The client has disconnected. */
    void drop(InboundConnection connection) {
        parked.remove(connection);
    }

    /** Hands all of them on, in the order in which they came. */
    void releaseAll(Handler handler) {
        Map<InboundConnection, Parked> released = new LinkedHashMap<>(parked);
        parked.clear();
        released.forEach((connection, waiting) -> handler.handle(waiting.request(), connection, waiting.arrivedAt()));
    }
}
