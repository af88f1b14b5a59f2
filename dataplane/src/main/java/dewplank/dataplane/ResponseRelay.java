package dewplank.dataplane;

import dewplank.exchange.InboundConnection;
import dewplank.http.Headers;

/**
 * Relays a long response while it arrives, and reads it from the server no faster than the client takes it. Not
 * thread-safe; must be used on the event loop's thread only.
 */
final class ResponseRelay {
    /** Reading from the server stops while more than this is queued for the client. */
    private static final int MAX_QUEUED_BYTES = 64 * 1024;

    private final InboundConnection client;
    private final ServerAttempt attempt;
    private int queuedBytes;
    private boolean paused;

    ResponseRelay(InboundConnection client, ServerAttempt attempt) {
        this.client = client;
        this.attempt = attempt;
    }

    /** Sends the head, with the length of the body if the server has stated it. */
    void start(int status, Headers headers) {
        client.startResponse(status, headers.endToEnd(), headers.get("Content-Length"));
    }

    /** Sends the next bytes of the body. */
    void write(byte[] bytes) {
        queuedBytes += bytes.length;
        client.writePart(bytes, () -> onWritten(bytes.length));
        if (queuedBytes > MAX_QUEUED_BYTES && !paused) {
            paused = true;
            attempt.pauseReading();
        }
    }

    private void onWritten(int bytes) {
        queuedBytes -= bytes;
        if (paused && queuedBytes <= MAX_QUEUED_BYTES / 2) {
            paused = false;
            attempt.resumeReading();
        }
    }
}
