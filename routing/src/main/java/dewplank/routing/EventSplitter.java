package dewplank.routing;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.Optional;

/**
 * Splits a stream of server-sent events (WHATWG HTML, section 9.2) at their ends, so that a stream which breaks off can
 * be continued behind the last complete event. Bytes pass through unchanged and in order. One for each stream, called
 * on the event loop; no I/O.
 */
public final class EventSplitter {
    /** An incomplete event beyond this is passed on as it is, so that memory stays bounded. */
    static final int MAX_INCOMPLETE_BYTES = 256 * 1024;
    /** Of a line, what is looked at for its field name and an id. */
    private static final int MAX_FIELD_CHARS = 64;

    private final ByteArrayOutputStream incomplete = new ByteArrayOutputStream();
    /** Null before the first complete event with an id. */
    private String lastEventId;
    /** Null while the event that has begun has no id. */
    private String incompleteId;

    private boolean incompleteHasData;
    /** Whether data was passed on behind the last id, which would come twice if the stream were continued there. */
    private boolean passedBeyondId;

    private final StringBuilder line = new StringBuilder();
    private int lineLength;
    private boolean carriageReturn;

    /**
     * Takes bytes of the stream, cut anywhere.
     *
     * @return the events that they complete, together; empty if there are none
     */
    public byte[] feed(byte[] bytes) {
        ByteArrayOutputStream complete = new ByteArrayOutputStream(bytes.length + incomplete.size());
        int start = 0;
        for (int index = 0; index < bytes.length; index++) {
            if (endsEvent(bytes[index])) {
                incomplete.write(bytes, start, index + 1 - start);
                start = index + 1;
                complete.writeBytes(incomplete.toByteArray());
                incomplete.reset();
            }
        }
        incomplete.write(bytes, start, bytes.length - start);
        if (incomplete.size() > MAX_INCOMPLETE_BYTES) {
            passedBeyondId = true;
            complete.writeBytes(drainIncompleteEvent());
        }
        return complete.toByteArray();
    }

    private boolean endsEvent(byte next) {
        if (next == '\n') {
            boolean blank = lineLength == 0 || lineLength == 1 && carriageReturn;
            endLine();
            if (blank) {
                endEvent();
            }
            return blank;
        }
        carriageReturn = next == '\r';
        lineLength++;
        if (line.length() < MAX_FIELD_CHARS) {
            line.append((char) (next & 0xFF));
        }
        return false;
    }

    private void endEvent() {
        if (incompleteId != null) {
            lastEventId = incompleteId;
            passedBeyondId = false;
        } else {
            passedBeyondId |= incompleteHasData;
        }
        incompleteId = null;
        incompleteHasData = false;
    }

    private void endLine() {
        String text = line.toString();
        incompleteHasData |= text.startsWith("data");
        if (text.startsWith("id:")) {
            incompleteId = text.substring("id:".length()).strip();
        }
        line.setLength(0);
        lineLength = 0;
        carriageReturn = false;
    }

    /** The bytes of an event that is not complete, which are dropped here; for the end of a stream. */
    public byte[] drainIncompleteEvent() {
        byte[] bytes = incomplete.toByteArray();
        incomplete.reset();
        return bytes;
    }

    /** Drops an incomplete event: another server continues the stream behind the last complete one. */
    public void discardIncompleteEvent() {
        incomplete.reset();
        incompleteId = null;
        incompleteHasData = false;
        line.setLength(0);
        lineLength = 0;
        carriageReturn = false;
    }

    /** Whether an event has begun and is not complete. */
    public boolean isMidEvent() {
        return incomplete.size() > 0;
    }

    /**
     * Whether the stream can be continued behind {@link #lastEventId} with nothing sent twice: no event without an id,
     * and no part of one, has been passed on since.
     */
    public boolean isResumable() {
        return !passedBeyondId;
    }

    /** The id of the last complete event, as the server wrote it; empty before the first. */
    public Optional<String> lastEventId() {
        return Optional.ofNullable(lastEventId);
    }

    @Override
    public String toString() {
        return "after event " + lastEventId + ", " + new String(incomplete.toByteArray(), StandardCharsets.UTF_8);
    }
}
