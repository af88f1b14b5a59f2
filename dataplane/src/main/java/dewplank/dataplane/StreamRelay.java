package dewplank.dataplane;

import dewplank.exchange.InboundConnection;
import dewplank.http.Headers;
import dewplank.routing.EventSplitter;
import java.util.Optional;

/**
 * Relays the stream of a generation to its client in complete events. Several servers may contribute to the stream; the
 * head is from the first response that is relayed. Not thread-safe; must be used on the event loop's thread only.
 */
final class StreamRelay {
    private final InboundConnection client;
    private final EventSplitter events = new EventSplitter();
    private boolean started;

    StreamRelay(InboundConnection client) {
        this.client = client;
    }

    /** Whether a part of the stream was sent to the client. */
    boolean isStarted() {
        return started;
    }

    /** Whether another server can continue the stream after the last complete event. */
    boolean isResumable() {
        return events.isResumable();
    }

    /** Whether the last bytes received are an incomplete event. */
    boolean hasIncompleteEvent() {
        return events.hasIncompleteEvent();
    }

    /** Size of the incomplete event that is stored. */
    int incompleteEventBytes() {
        return events.incompleteBytes();
    }

    /** The id of the event after which the stream can be continued; empty before the first event with an id. */
    Optional<String> lastEventId() {
        return events.lastEventId();
    }

    /** Adds received bytes and returns the events that are now complete; empty if there are none. */
    byte[] feed(byte[] bytes) {
        return events.feed(bytes);
    }

    /** Returns the bytes that follow the last complete event of a stream that has ended. */
    byte[] drainIncompleteEvent() {
        return events.drainIncompleteEvent();
    }

    /** Drops an incomplete event of the last server before another server continues the stream. */
    void discardIncompleteEvent() {
        events.discardIncompleteEvent();
    }

    /** Sends the head of the response. */
    void start(int status, Headers headers) {
        started = true;
        client.startResponse(status, headers.endToEnd());
    }

    void write(byte[] completeEvents) {
        client.writePart(completeEvents);
    }

    void end() {
        client.endResponse();
    }
}
