package dewplank.routing;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.Optional;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.junit.jupiter.api.Test;

class EventSplitterTest {
    private static byte[] bytes(String text) {
        return text.getBytes(StandardCharsets.UTF_8);
    }

    private static String text(byte[] bytes) {
        return new String(bytes, StandardCharsets.UTF_8);
    }

    @Test
    void onlyCompleteEventsAreForwarded() {
        EventSplitter events = new EventSplitter();
        assertEquals("", text(events.feed(bytes("id: 1\ndata: a\n"))));
        assertEquals(Optional.empty(), events.lastEventId(), "an incomplete event has not been forwarded");
        assertEquals("id: 1\ndata: a\n\n", text(events.feed(bytes("\nid: 2\nda"))));
        assertEquals(Optional.of("1"), events.lastEventId());
    }

    @Test
    void anIncompleteEventIsDiscardedWhenAnotherServerResumesTheStream() {
        EventSplitter events = new EventSplitter();
        events.feed(bytes("id: 1\ndata: a\n\nid: 2\ndata: b"));
        events.discardIncompleteEvent();
        assertEquals(Optional.of("1"), events.lastEventId());
        assertEquals("id:2\ndata: b\n\n", text(events.feed(bytes("id:2\ndata: b\n\n"))));
        assertEquals(Optional.of("2"), events.lastEventId());
    }

    /** The line is the first one of an event at which the version of the model weights changes. */
    @Test
    void aLineWithAVersionIsForwardedUnchanged() {
        EventSplitter events = new EventSplitter();
        String event = "versions: 3\nid: 4\ndata: a\n\n";
        assertEquals(event, text(events.feed(bytes(event))));
        assertEquals(Optional.of("4"), events.lastEventId());
    }

    @Test
    void linesMayEndWithCarriageReturnAndLineFeed() {
        EventSplitter events = new EventSplitter();
        assertEquals("id: 7\r\ndata: a\r\n\r\n", text(events.feed(bytes("id: 7\r\ndata: a\r\n\r\nda"))));
        assertEquals(Optional.of("7"), events.lastEventId());
    }

    @Test
    void anEventAboveTheMaximumSizeIsForwardedIncomplete() {
        EventSplitter events = new EventSplitter();
        byte[] line = new byte[EventSplitter.MAX_INCOMPLETE_BYTES];
        java.util.Arrays.fill(line, (byte) 'x');
        assertEquals(0, events.feed(line).length);
        assertEquals(line.length + 1, events.feed(bytes("x")).length);
    }

    /** Data that was forwarded after the last id would be sent twice. */
    @Test
    void aStreamIsResumableOnlyWithoutDataAfterTheLastId() {
        EventSplitter events = new EventSplitter();
        assertTrue(events.isResumable());
        events.feed(bytes("id: 1\ndata: a\n\nid: 2\ndata: b"));
        assertTrue(events.isResumable() && events.hasIncompleteEvent(), "the incomplete event has not been forwarded");
        events.feed(bytes("\n\n: a comment\n\n"));
        assertTrue(events.isResumable() && !events.hasIncompleteEvent());
        events.feed(bytes("data: without an id\n\n"));
        assertFalse(events.isResumable());
        events.discardIncompleteEvent();
        assertFalse(events.isResumable());
        events.feed(bytes("id: 3\ndata: c\n\n"));
        assertTrue(events.isResumable());
    }

    @Test
    void aStreamIsNotResumableAfterAnIncompleteEventWasForwarded() {
        EventSplitter events = new EventSplitter();
        events.feed(bytes("id: 1\ndata: a\n\n"));
        byte[] line = new byte[EventSplitter.MAX_INCOMPLETE_BYTES + 1];
        java.util.Arrays.fill(line, (byte) 'x');
        events.feed(line);
        assertFalse(events.isResumable());
        events.feed(bytes("\nid: 2\n\n"));
        assertTrue(events.isResumable());
    }

    /** The output has the same bytes in the same order, regardless of how the stream is split into chunks. */
    @Property(tries = 300)
    void noByteIsLostOrReorderedForAnyChunkLengths(
            @ForAll @Size(max = 12) java.util.List<@IntRange(min = 1, max = 40) Integer> chunkLengths) {
        StringBuilder stream = new StringBuilder();
        for (int i = 1; i <= 20; i++) {
            stream.append("id: ").append(i).append("\ndata: token ").append(i).append("\n\n");
        }
        byte[] all = bytes(stream.toString());
        EventSplitter events = new EventSplitter();
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        int offset = 0;
        for (int chunkLength : chunkLengths) {
            int to = Math.min(all.length, offset + chunkLength);
            out.writeBytes(events.feed(java.util.Arrays.copyOfRange(all, offset, to)));
            offset = to;
        }
        out.writeBytes(events.feed(java.util.Arrays.copyOfRange(all, offset, all.length)));
        assertEquals(stream.toString(), out.toString(StandardCharsets.UTF_8));
        assertEquals(Optional.of("20"), events.lastEventId());
    }
}
