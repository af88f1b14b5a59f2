package dewplank.routing;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;

/**
 * Splits a stream of server-sent events at their ends (a blank line), so that a stream which breaks off can be
 * continued
 * behind the last whole event. Bytes pass through unchanged.
 */
public final class EventSplitter {
    /** An unfinished event beyond this is passed on as it is. */
    static final int MAX_INCOMPLETE_BYTES = 256 * 1024;

    private final ByteArrayOutputStream unfinished = new ByteArrayOutputStream();
    private String lastEventId;
    private String unfinishedId;
    private boolean unfinishedData;
    private boolean beyondId;
    private int lineLength;
    private boolean carriageReturn;
    private final StringBuilder line = new StringBuilder();

    /** Whole events that the bytes complete, together; empty if there are none. */
    public byte[] feed(byte[] bytes) {
        ByteArrayOutputStream whole = new ByteArrayOutputStream(bytes.length + unfinished.size());
        int start = 0;
        for (int i = 0; i < bytes.length; i++) {
            if (endsEvent(bytes[i])) {
                unfinished.write(bytes, start, i + 1 - start);
                start = i + 1;
                whole.writeBytes(unfinished.toByteArray());
                unfinished.reset();
            }
        }
        unfinished.write(bytes, start, bytes.length - start);
        if (unfinished.size() > MAX_INCOMPLETE_BYTES) {
            beyondId = true;
            whole.writeBytes(drainIncompleteEvent());
        }
        return whole.toByteArray();
    }

    private boolean endsEvent(byte b) {
        if (b == '\n') {
            boolean blank = lineLength == 0 || lineLength == 1 && carriageReturn;
            endLine();
            if (blank) {
                endEvent();
            }
            return blank;
        }
        carriageReturn = b == '\r';
        lineLength++;
        if (line.length() < 64) {
            line.append((char) (b & 0xFF));
        }
        return false;
    }

    private void endEvent() {
        if (unfinishedId != null) {
            lastEventId = unfinishedId;
            beyondId = false;
        } else {
            beyondId |= unfinishedData;
        }
        unfinishedId = null;
        unfinishedData = false;
    }

    private void endLine() {
        String text = line.toString();
        unfinishedData |= text.startsWith("data");
        if (text.startsWith("id:")) {
            unfinishedId = text.substring("id:".length()).strip();
        }
        line.setLength(0);
        lineLength = 0;
        carriageReturn = false;
    }

    /** What has come of an event that is not whole; forgotten by this call. */
    public byte[] drainIncompleteEvent() {
        byte[] rest = unfinished.toByteArray();
        unfinished.reset();
        return rest;
    }

    /** Drops an unfinished event: another server continues the stream. */
    public void discardIncompleteEvent() {
        unfinished.reset();
        unfinishedId = null;
        unfinishedData = false;
        line.setLength(0);
        lineLength = 0;
        carriageReturn = false;
    }

    /** Whether an event has begun and is not whole. */
    public boolean isMidEvent() {
        return unfinished.size() > 0;
    }

    /**
     * Whether the stream can be continued behind {@link #lastEventId} with nothing repeated: no event without an id,
     * and no part of one, has been passed on since.
     */
    public boolean isResumable() {
        return !beyondId;
    }

    /** The id of the last whole event, as the server wrote it; null before the first. */
    public String lastEventId() {
        return lastEventId;
    }

    @Override
    public String toString() {
        return "after event " + lastEventId + ", " + new String(unfinished.toByteArray(), StandardCharsets.UTF_8);
    }
}
