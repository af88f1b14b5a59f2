package dewplank.message;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dewplank.membership.Member;
import java.nio.ByteBuffer;
import java.util.Arrays;
import java.util.Collections;
import java.util.List;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;

/** What a body makes the decoder allocate is bounded, whatever its bytes say. */
class BoundedInputTest {
    private static final int HEADER_BYTES = 5;
    private static final int TYPES = 19;

    private final MessageCodec codec = FleetMessages.codec();

    private static ByteBuffer frame(int type, byte[] body) {
        return ByteBuffer.allocate(HEADER_BYTES + body.length)
                .putInt(body.length)
                .put((byte) type)
                .put(body)
                .flip();
    }

    @Test
    void aListOfTooManyMessagesIsCorrupt() {
        Member member = new Member("n", Member.DATA, "10.0.0.1:1", null, 1);
        FleetUpdate update =
                new FleetUpdate(null, 0, 0, null, Collections.nCopies(BoundedInput.MAX_MESSAGES + 1, member));
        CorruptFrameException e = assertThrows(
                CorruptFrameException.class, () -> codec.newDecoder().decode(codec.encode(update)));
        assertTrue(e.getMessage().contains("more than"), e.getMessage());
    }

    @Test
    void aLargeListIsDecoded() throws Exception {
        Member member = new Member("n", Member.DATA, "10.0.0.1:1", "z", 1);
        FleetUpdate update = new FleetUpdate(null, 0, 0, null, Collections.nCopies(5_000, member));
        FleetUpdate decoded = (FleetUpdate) codec.newDecoder().decode(codec.encode(update));
        assertEquals(update.members, decoded.members);
    }

    /** Unknown groups are skipped recursively. */
    @Test
    void deeplyNestedGroupsAreCorrupt() {
        byte[] body = new byte[4 * 1024 * 1024];
        byte startOfUnknownGroup = (byte) (15 << 3 | 3);
        Arrays.fill(body, startOfUnknownGroup);
        for (int type = 0; type < TYPES; type++) {
            ByteBuffer frame = frame(type, body);
            assertThrows(CorruptFrameException.class, () -> codec.newDecoder().decode(frame));
        }
    }

    /** An announced length allocates nothing before its bytes arrive. */
    @Test
    void theDecoderHoldsNoMoreThanWhatHasArrived() throws Exception {
        MessageCodec.Decoder decoder = codec.newDecoder();
        decoder.decode(ByteBuffer.allocate(HEADER_BYTES)
                .putInt(MessageCodec.MAX_BODY_BYTES)
                .put((byte) 4)
                .flip());
        assertEquals(0, decoder.heldBytes());
        decoder.decode(ByteBuffer.allocate(1_000));
        assertTrue(decoder.heldBytes() <= 2_000, "held " + decoder.heldBytes());
    }

    /** Random bytes, and encoded messages with one byte changed, are decoded or corrupt: nothing else is thrown. */
    @Property(tries = 3_000)
    void changedMessagesAreDecodedOrCorrupt(@ForAll long seed) throws ReflectiveOperationException {
        Random random = new Random(seed);
        List<Object> messages = Messages.emptyMessages();
        Object message = Messages.randomMessage(messages.get(random.nextInt(messages.size())), random);
        ByteBuffer frame = codec.encode(message);
        for (int change = 0; change < 3 && frame.limit() > HEADER_BYTES; change++) {
            int at = HEADER_BYTES + random.nextInt(frame.limit() - HEADER_BYTES);
            frame.put(at, (byte) random.nextInt(256));
        }
        try {
            codec.newDecoder().decode(frame);
        } catch (CorruptFrameException e) {
            assertTrue(e.getMessage().length() > 0);
        }
    }
}
