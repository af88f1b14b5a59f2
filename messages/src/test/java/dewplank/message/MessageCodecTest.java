package dewplank.message;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static org.junit.jupiter.api.Assertions.fail;

import dewplank.membership.Member;
import dewplank.register.AcceptorId;
import dewplank.register.AcceptorSet;
import dewplank.register.Ballot;
import dewplank.register.Promise;
import dewplank.register.RegisterMessages;
import dewplank.register.RegisterValue;
import dewplank.register.StatusReport;
import dewplank.singleton.VoteReply;
import dewplank.singleton.VoteRequest;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashSet;
import java.util.List;
import java.util.Random;
import java.util.Set;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.junit.jupiter.api.Test;

class MessageCodecTest {
    private static final int ABOVE_MAX_BODY_BYTES = MessageCodec.MAX_BODY_BYTES + 1;

    private final MessageCodec codec = FleetMessages.codec();

    private <T> T roundTrip(T message) throws CorruptFrameException {
        Object decoded = codec.newDecoder().decode(codec.encode(message));
        @SuppressWarnings("unchecked")
        T typed = (T) decoded;
        return typed;
    }

    // ---- all types ------------------------------------------------------------------------------------

    @Test
    void listsAllMessageTypes() {
        Set<Class<?>> types = new HashSet<>();
        Messages.emptyMessages().forEach(message -> types.add(message.getClass()));
        assertTrue(types.containsAll(RegisterMessages.TYPES));
        assertTrue(types.containsAll(List.of(
                VoteRequest.class,
                VoteReply.class,
                ControlHello.class,
                SessionOpen.class,
                SessionHeartbeat.class,
                HeartbeatAck.class,
                FleetUpdate.class,
                ControlHeartbeat.class,
                EndpointList.class)));
    }

    /** The type numbers on the wire must equal those of earlier releases; new types are added at the end. */
    @Test
    void numbersTypesInAFixedOrder() {
        List<String> names = Messages.emptyMessages().stream()
                .map(message -> message.getClass().getSimpleName())
                .toList();
        assertEquals(
                List.of(
                        "ControlHello",
                        "SessionOpen",
                        "SessionHeartbeat",
                        "HeartbeatAck",
                        "FleetUpdate",
                        "ControlHeartbeat",
                        "EndpointList",
                        "VoteRequest",
                        "VoteReply",
                        "Prepare",
                        "Promise",
                        "Accept",
                        "Accepted",
                        "Reject",
                        "StatusQuery",
                        "StatusReport",
                        "Chosen"),
                names.subList(0, 17));
    }

    /** Encodes a sequence of messages, splits the bytes at random positions, and compares the decoded messages. */
    @Property(tries = 300)
    void decodesEncodedMessagesFromAnyChunks(
            @ForAll long seed,
            @ForAll @IntRange(min = 1, max = 6) int count,
            @ForAll @IntRange(min = 1, max = 2_000) int maxChunkBytes)
            throws Exception {
        Random random = new Random(seed);
        List<Object> emptyMessages = Messages.emptyMessages();
        List<Object> sent = new ArrayList<>();
        ByteBuffer all = ByteBuffer.allocate(1 << 20);
        for (int i = 0; i < count; i++) {
            Object message = withoutEmptyMembers(
                    Messages.randomMessage(emptyMessages.get(random.nextInt(emptyMessages.size())), random));
            sent.add(message);
            all.put(codec.encode(message));
        }
        List<Object> received = new ArrayList<>();
        MessageCodec.Decoder reader = codec.newDecoder();
        byte[] bytes = Arrays.copyOf(all.array(), all.position());
        for (int at = 0; at < bytes.length; ) {
            int end = Math.min(bytes.length, at + 1 + random.nextInt(maxChunkBytes));
            ByteBuffer chunk = ByteBuffer.wrap(bytes, at, end - at);
            for (Object message = reader.decode(chunk); message != null; message = reader.decode(chunk)) {
                received.add(message);
            }
            assertFalse(chunk.hasRemaining());
            at = end;
        }
        assertEquals(sent.size(), received.size());
        for (int i = 0; i < count; i++) {
            assertNull(
                    Messages.difference(sent.get(i), received.get(i)),
                    sent.get(i).getClass().getSimpleName());
        }
    }

    /** The list of members in an update is never empty: it contains at least the data plane that receives it. */
    private static Object withoutEmptyMembers(Object message) {
        if (message instanceof FleetUpdate u && u.members != null && u.members.isEmpty()) {
            return new FleetUpdate(u.configuration, u.configurationVersion, u.baseVersion, u.endpointList, null);
        }
        return message;
    }

    @Property(tries = 20)
    void decodesEachTypeAsEncoded(@ForAll long seed) throws Exception {
        Random random = new Random(seed);
        for (Object emptyMessage : Messages.emptyMessages()) {
            Object message = withoutEmptyMembers(Messages.randomMessage(emptyMessage, random));
            assertNull(
                    Messages.difference(message, roundTrip(message)),
                    emptyMessage.getClass().getSimpleName());
        }
    }

    // ---- particular values ----------------------------------------------------------------------------

    @Test
    void decodesEmptyListsAsEmptyAndNotAsNull() throws Exception {
        assertEquals(List.of(), roundTrip(new EndpointList(new EndpointListVersion(3, 4), List.of())).endpoints);
        assertEquals(List.of(), roundTrip(new HeartbeatAck(1, true, List.of())).controlAddresses);
        ControlHeartbeat heartbeat = roundTrip(new ControlHeartbeat(1, List.of(), List.of()));
        assertEquals(List.of(), heartbeat.sessions);
        assertEquals(List.of(), heartbeat.controlAddresses);
        FleetUpdate update = roundTrip(
                new FleetUpdate(null, 0, 0, new EndpointList(new EndpointListVersion(3, 4), List.of()), null));
        assertEquals(List.of(), update.endpointList.endpoints);
        assertEquals(new EndpointListVersion(3, 4), update.endpointList.version);
        assertNull(update.configuration);
        assertNull(update.members);
    }

    @Test
    void decodesAnEqualRegisterValue() throws Exception {
        AcceptorId founder = new AcceptorId("10.0.0.1:1", "founder@10.0.0.1:1");
        AcceptorId successor = new AcceptorId("10.0.0.2:1", "");
        byte[] large = new byte[4 << 20];
        new Random(1).nextBytes(large);
        for (byte[] payload : new byte[][] {null, new byte[0], {0}, large}) {
            for (AcceptorSet set : List.of(
                    AcceptorSet.of(List.of()),
                    AcceptorSet.of(List.of(founder)),
                    new AcceptorSet(7, List.of(founder, successor), List.of(successor)))) {
                RegisterValue value = new RegisterValue(set, 9, payload);
                Promise promise = roundTrip(new Promise("s", "si", "ri", new Ballot(3, "p"), Ballot.NONE, value));
                assertEquals(value, promise.acceptedValue());
                assertArrayEquals(payload, promise.acceptedValue().payload());
                assertEquals(set.isJoint(), promise.acceptedValue().acceptors().isJoint());
                assertEquals(new Ballot(3, "p"), promise.ballot());
                assertTrue(promise.acceptedBallot().isNone());
            }
        }
        StatusReport report = roundTrip(new StatusReport("s", "si", "", 5, Ballot.NONE, null, Ballot.NONE, 0, null));
        assertNull(report.chosenValue());
        assertNull(report.acceptedAcceptors());
        assertEquals("", report.recipientIdentity());
    }

    @Test
    void decodesEveryKindOfVoteRequest() throws Exception {
        for (VoteRequest.Kind kind : VoteRequest.Kind.values()) {
            VoteRequest request = roundTrip(new VoteRequest(kind, "list", "n1/5", "disk", 17, 4, 3));
            assertEquals(kind, request.kind());
            assertEquals("list", request.duty());
            assertEquals("n1/5", request.candidate());
            assertEquals("disk", request.voterIdentity());
            assertEquals(17, request.round());
            assertEquals(4, request.fencingToken());
            assertEquals(3, request.voterSetGeneration());
        }
    }

    @Test
    void decodesAListOfThousandsOfEndpoints() throws Exception {
        List<Endpoint> servers = new ArrayList<>();
        for (int i = 0; i < 10_000; i++) {
            servers.add(new Endpoint(
                    "i-" + i,
                    "s",
                    "10.0.0.1:" + i,
                    i % 2 == 0 ? null : "z",
                    i,
                    i % 3 == 0,
                    i / 2.0,
                    i % 5 == 0 ? null : "prefill"));
        }
        EndpointList decoded = roundTrip(new EndpointList(new EndpointListVersion(1, 2), servers));
        for (int i = 0; i < servers.size(); i++) {
            assertTrue(servers.get(i).equalsIgnoringWarmup(decoded.endpoints.get(i)));
            assertEquals(servers.get(i).warmupRemainingMs, decoded.endpoints.get(i).warmupRemainingMs);
        }
    }

    @Test
    void oneFrameCanBeSentOnManyConnections() throws Exception {
        ByteBuffer frame = codec.encode(new SessionOpen(new Member("n", Member.DATA, "a", null, 1)));
        for (int i = 0; i < 3; i++) {
            SessionOpen open = (SessionOpen) codec.newDecoder().decode(frame.duplicate());
            assertEquals(new Member("n", Member.DATA, "a", null, 1), open.member);
        }
    }

    @Test
    void encodesAfterAMessageItCannotEncode() throws Exception {
        assertThrows(RuntimeException.class, () -> codec.encode("no message"));
        assertEquals(5, roundTrip(new SessionHeartbeat(5, 0, EndpointListVersion.NONE, 0)).sequence);
    }

    // ---- corrupt frames -----------------------------------------------------------------------------------

    @Test
    void rejectsUnknownTypesAndInvalidLengths() {
        int typeCount = Messages.emptyMessages().size();
        for (int number : new int[] {typeCount, 127, -1, -128}) {
            assertThrows(
                    CorruptFrameException.class, () -> codec.newDecoder().decode(Messages.frame(number, new byte[0])));
        }
        for (int length : new int[] {-1, Integer.MIN_VALUE, Integer.MAX_VALUE, ABOVE_MAX_BODY_BYTES}) {
            ByteBuffer head =
                    ByteBuffer.allocate(5).putInt(length).put((byte) 0).flip();
            assertThrows(CorruptFrameException.class, () -> codec.newDecoder().decode(head), "length " + length);
        }
    }

    @Test
    void waitsForABodyOfTheMaximumLength() throws Exception {
        ByteBuffer head = ByteBuffer.allocate(5)
                .putInt(MessageCodec.MAX_BODY_BYTES)
                .put((byte) 0)
                .flip();
        assertNull(codec.newDecoder().decode(head));
    }

    @Test
    void waitsForIncompleteFrames() throws Exception {
        ByteBuffer frame = codec.encode(new HeartbeatAck(5, true, List.of("a", "b")));
        for (int length = 0; length < frame.limit(); length++) {
            MessageCodec.Decoder reader = codec.newDecoder();
            assertNull(reader.decode(frame.duplicate().limit(length)));
            HeartbeatAck ack = (HeartbeatAck) reader.decode(frame.duplicate().position(length));
            assertEquals(List.of("a", "b"), ack.controlAddresses);
        }
    }

    /** Any body is either decoded or rejected as corrupt; it causes no other exception or error. */
    @Property(tries = 400)
    void decodesOrRejectsAnyBody(@ForAll @IntRange(min = 0, max = 16) int number, @ForAll @Size(max = 60) byte[] body) {
        assertDecodesOrRejects(number, body);
    }

    /** The same check for real messages with changed or truncated bytes. */
    @Property(tries = 400)
    void decodesOrRejectsACorruptedMessage(@ForAll long seed) throws Exception {
        Random random = new Random(seed);
        List<Object> emptyMessages = Messages.emptyMessages();
        int number = random.nextInt(emptyMessages.size());
        ByteBuffer frame = codec.encode(Messages.randomMessage(emptyMessages.get(number), random));
        byte[] body = Arrays.copyOfRange(frame.array(), 5, frame.limit());
        for (int i = 0; i < 1 + random.nextInt(3) && body.length > 0; i++) {
            switch (random.nextInt(3)) {
                case 0 -> body[random.nextInt(Math.min(body.length, 40))] = (byte) random.nextInt();
                case 1 -> body = Arrays.copyOf(body, random.nextInt(body.length));
                default -> body = Arrays.copyOfRange(body, random.nextInt(body.length), body.length);
            }
        }
        assertDecodesOrRejects(number, body);
    }

    private void assertDecodesOrRejects(int number, byte[] body) {
        try {
            assertNotNull(codec.newDecoder().decode(Messages.frame(number, body)));
        } catch (CorruptFrameException e) {
            assertNotNull(e.getMessage());
        } catch (OutOfMemoryError e) { // otherwise this would end the whole test run
            fail("type " + number + " allocates too much memory: " + e.getMessage());
        }
    }

    /** Lengths within a body that exceed the available memory. */
    @Test
    void rejectsLengthsBeyondTheBody() {
        List<Object> emptyMessages = Messages.emptyMessages();
        byte[] length = {-1, -1, -1, -1, 7}; // the maximum value, as a varint
        for (int number = 0; number < emptyMessages.size(); number++) {
            for (int field = 1; field <= 9; field++) {
                byte[] body = ByteBuffer.allocate(8)
                        .put((byte) (field << 3 | 2))
                        .put(length)
                        .put((byte) 0)
                        .put((byte) 0)
                        .array();
                assertDecodesOrRejects(number, body);
            }
        }
    }

    @Test
    void theExceptionNamesATypeThatIsNotAMessage() {
        IllegalArgumentException failure = assertThrows(IllegalArgumentException.class, () -> codec.encode("text"));
        assertEquals("not a message type: java.lang.String", failure.getMessage());
    }
}
