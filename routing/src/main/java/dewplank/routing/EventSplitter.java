package dewplank.routing;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.Optional;

/**
 * Splits a stream of server-sent events (WHATWG HTML, section 9.2) at the ends of events, so that an interrupted stream
 * can be resumed after the last complete event. Bytes are forwarded unchanged and in order. Each stream has its own
 * instance, which is called on the event loop. No I/O.
 */
public final class EventSplitter {
    /** Maximum size of a stored incomplete event. A larger one is forwarded incomplete, to limit the use of memory. */
    static final int MAX_INCOMPLETE_BYTES = 256 * 1024;
    /** Maximum length of the stored start of a line, in which the field name and an id are searched for. */
    private static final int MAX_FIELD_CHARS = 64;

    private final ByteArrayOutputStream incomplete = new ByteArrayOutputStream();
    /** Null before the first complete event with an id. */
    private String lastEventId;
    /** Null while the incomplete event has no id. */
    private String incompleteId;

    private boolean incompleteHasData;
    /** Whether data was forwarded after the last id; it would be sent twice if the stream were resumed there. */
    private boolean forwardedAfterLastId;

    private final StringBuilder line = new StringBuilder();
    private int lineLength;
    private boolean carriageReturn;

    /**
     * Processes the next bytes of the stream, which may end anywhere.
     *
     * @return the events that these bytes complete, concatenated; empty if there are none
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
            forwardedAfterLastId = true;
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
            forwardedAfterLastId = false;
        } else {
            forwardedAfterLastId |= incompleteHasData;
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

    /** Removes and returns the bytes of an incomplete event, at the end of a stream. */
    public byte[] drainIncompleteEvent() {
        byte[] bytes = incomplete.toByteArray();
        incomplete.reset();
        return bytes;
    }

    /** Discards an incomplete event, because another server resumes the stream after the last complete one. */
    public void discardIncompleteEvent() {
        incomplete.reset();
        incompleteId = null;
        incompleteHasData = false;
        line.setLength(0);
        lineLength = 0;
        carriageReturn = false;
    }

    /** Size of the stored incomplete event. */
    public int incompleteBytes() {
        return incomplete.size();
    }

    /** Whether the stream is within an event that is not complete yet. */
    public boolean hasIncompleteEvent() {
        return incomplete.size() > 0;
    }

    /**
     * Whether the stream can be resumed after {@link #lastEventId} without sending anything twice: since that event, no
     * data of an event without an id and no part of an incomplete event has been forwarded.
     */
    public boolean isResumable() {
        return !forwardedAfterLastId;
    }

    /** The id of the last complete event that has one, as the server sent it; empty before the first. */
    public Optional<String> lastEventId() {
        return Optional.ofNullable(lastEventId);
    }

    @Override
    public String toString() {
        return "after event " + lastEventId + ", " + new String(incomplete.toByteArray(), StandardCharsets.UTF_8);
    }
}
