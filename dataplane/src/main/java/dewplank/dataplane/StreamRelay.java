package dewplank.dataplane;

import dewplank.exchange.InboundConnection;
import dewplank.http.Headers;
import dewplank.routing.EventSplitter;
import java.util.Optional;

/**
 * Passes a generation's stream on to its client by complete events, whichever servers they come from; the head is that
 * of the first server. On the event loop's thread only.
 */
final class StreamRelay {
    private final InboundConnection client;
    private final EventSplitter events = new EventSplitter();
    private boolean started;

    StreamRelay(InboundConnection client) {
        this.client = client;
    }

    /** Whether a part of the stream has gone to the client. */
    boolean isStarted() {
        return started;
    }

    /** Whether another server can continue the stream behind the last complete event. */
    boolean isResumable() {
        return events.isResumable();
    }

    /** Whether what came last is a part of an event. */
    boolean isMidEvent() {
        return events.isMidEvent();
    }

    /** Where the stream is to be continued; empty before the first event with an id. */
    Optional<String> lastEventId() {
        return events.lastEventId();
    }

    /** The complete events that the bytes bring; empty where they bring none. */
    byte[] feed(byte[] bytes) {
        return events.feed(bytes);
    }

    /** What a stream that has ended left behind its last complete event. */
    byte[] drainIncompleteEvent() {
        return events.drainIncompleteEvent();
    }

    /** Another server continues: the part of an event that the last one sent is dropped. */
    void discardIncompleteEvent() {
        events.discardIncompleteEvent();
    }

    /** Sends the head of the answer. */
    void start(int status, Headers headers) {
        started = true;
        client.beginAnswer(status, headers.endToEnd());
    }

    void write(byte[] completeEvents) {
        client.writePart(completeEvents);
    }

    void end() {
        client.endAnswer();
    }
}
