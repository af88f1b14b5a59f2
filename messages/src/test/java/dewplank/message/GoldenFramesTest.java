package dewplank.message;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dewplank.configuration.DeflateCodec;
import dewplank.membership.Member;
import dewplank.membership.SessionTable;
import dewplank.register.Accept;
import dewplank.register.Accepted;
import dewplank.register.AcceptorId;
import dewplank.register.AcceptorSet;
import dewplank.register.Ballot;
import dewplank.register.Chosen;
import dewplank.register.Prepare;
import dewplank.register.Promise;
import dewplank.register.RegisterMessage;
import dewplank.register.RegisterValue;
import dewplank.register.Reject;
import dewplank.register.StatusQuery;
import dewplank.register.StatusReport;
import dewplank.singleton.VoteReply;
import dewplank.singleton.VoteRequest;
import java.io.IOException;
import java.io.InputStream;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HexFormat;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;

/**
 * Tests the compatibility with frames that an earlier release sent: each message must be encoded to the same bytes, and
 * the bytes must be decoded to the same fields. Types are identified by label and number, so classes can be renamed.
 */
class GoldenFramesTest {
    private static final String RESOURCE = "/golden/frames.txt";

    private static final long MEMBERS_DIGEST = -7046029255861517805L;
    private static final long MEMBERS_DIGEST_OF_TWO = 6216105177043112590L;
    private static final String DEFLATED = "7801ab564acecf4bcb4c8f2f4b2d2acecccf53b232adadc622060038df0f0d";

    /** The message types in the order of their numbers. */
    private static final List<String> TYPES = List.of(
            "control-hello",
            "session-open",
            "session-heartbeat",
            "heartbeat-ack",
            "update",
            "control-heartbeat",
            "endpoint-list",
            "vote-request",
            "vote-reply",
            "prepare",
            "promise",
            "accept",
            "accepted",
            "reject",
            "status-query",
            "status-report",
            "chosen",
            "quota-request",
            "quota-reply");

    private final MessageCodec codec = FleetMessages.codec();
    private final Map<String, byte[]> frames = frames();

    /** Each line contains a label, the type number and the frame in hexadecimal digits, separated by tabs. */
    private static Map<String, byte[]> frames() {
        Map<String, byte[]> frames = new LinkedHashMap<>();
        for (String line : lines()) {
            String[] columns = line.split("\t");
            byte[] frame = HexFormat.of().parseHex(columns[2]);
            assertEquals(Integer.parseInt(columns[1]), frame[Integer.BYTES], columns[0]);
            frames.put(columns[0], frame);
        }
        return frames;
    }

    private static List<String> lines() {
        try (InputStream in = GoldenFramesTest.class.getResourceAsStream(RESOURCE)) {
            return new String(in.readAllBytes(), StandardCharsets.US_ASCII)
                    .lines()
                    .toList();
        } catch (IOException e) {
            throw new IllegalStateException(e);
        }
    }

    private <T> T decode(String label, Class<T> type) throws CorruptFrameException {
        ByteBuffer bytes = ByteBuffer.wrap(frames.get(label));
        Object message = codec.newDecoder().decode(bytes);
        assertFalse(bytes.hasRemaining(), label);
        return assertInstanceOf(type, message, label);
    }

    // ---- all types ------------------------------------------------------------------------------------

    @Test
    void eachMessageIsEncodedToTheSameBytes() {
        Map<String, Object> messages = GoldenMessages.byLabel();
        assertEquals(new ArrayList<>(frames.keySet()), new ArrayList<>(messages.keySet()));
        for (Map.Entry<String, Object> message : messages.entrySet()) {
            String expected = HexFormat.of().formatHex(frames.get(message.getKey()));
            ByteBuffer frame = codec.encode(message.getValue());
            assertEquals(expected, HexFormat.of().formatHex(frame.array(), 0, frame.limit()), message.getKey());
        }
    }

    @Test
    void eachFrameIsDecodedToTheSameMessage() throws Exception {
        for (Map.Entry<String, Object> message : GoldenMessages.byLabel().entrySet()) {
            Object actual = decode(message.getKey(), message.getValue().getClass());
            assertNull(Messages.difference(message.getValue(), actual), message.getKey());
        }
    }

    @Test
    void eachTypeHasAFrameUnderItsNumber() {
        Map<String, Integer> numbers = new LinkedHashMap<>();
        frames.forEach((label, frame) -> numbers.put(label.split(" ")[0], (int) frame[Integer.BYTES]));
        Map<String, Integer> expected = new LinkedHashMap<>();
        TYPES.forEach(type -> expected.put(type, expected.size()));
        assertEquals(expected, numbers);
        assertEquals(TYPES.size(), Messages.emptyMessages().size());
    }

    // ---- sessions -------------------------------------------------------------------------------------

    @Test
    void decodesHellosOfControlPlanes() throws Exception {
        ControlHello durable = decode("control-hello durable", ControlHello.class);
        assertIsControlPlane(durable.member);
        assertEquals("founder@10.0.0.1:7600", durable.identity);
        assertTrue(durable.durable);
        ControlHello relay = decode("control-hello relay", ControlHello.class);
        assertIsControlPlane(relay.member);
        assertEquals("b91xy", relay.identity);
        assertFalse(relay.durable);
    }

    private static void assertIsControlPlane(Member member) {
        assertEquals("node-1", member.node);
        assertEquals("control", member.role);
        assertEquals("10.0.0.1:7600", member.address);
        assertNull(member.zone);
        assertEquals(-5, member.incarnation);
    }

    private static void assertIsDataPlane(Member member) {
        assertEquals("node-4", member.node);
        assertEquals("data", member.role);
        assertEquals("10.0.0.4:7601", member.address);
        assertEquals("zone-b", member.zone);
        assertEquals(1_700_000_000_123L, member.incarnation);
    }

    @Test
    void decodesSessionMessagesOfDataPlanes() throws Exception {
        assertIsDataPlane(decode("session-open", SessionOpen.class).member);
        SessionHeartbeat heartbeat = decode("session-heartbeat", SessionHeartbeat.class);
        assertEquals(17, heartbeat.sequence);
        assertEquals(200, heartbeat.configurationVersion);
        assertEquals(9, heartbeat.listVersion.fencingToken);
        assertEquals(130, heartbeat.listVersion.revision);
        assertEquals(-2, heartbeat.membersDigest);
        SessionHeartbeat initial = decode("session-heartbeat empty-handed", SessionHeartbeat.class);
        assertEquals(1, initial.sequence);
        assertEquals(0, initial.configurationVersion);
        assertEquals(0, initial.listVersion.fencingToken);
        assertEquals(0, initial.listVersion.revision);
        assertEquals(0, initial.membersDigest);
        HeartbeatAck quorate = decode("heartbeat-ack quorate", HeartbeatAck.class);
        assertEquals(17, quorate.sequence);
        assertTrue(quorate.quorate);
        assertEquals(List.of("10.0.0.1:7600", "10.0.0.2:7600"), quorate.controlAddresses);
        HeartbeatAck withoutQuorum = decode("heartbeat-ack alone", HeartbeatAck.class);
        assertEquals(18, withoutQuorum.sequence);
        assertFalse(withoutQuorum.quorate);
        assertEquals(List.of(), withoutQuorum.controlAddresses);
    }

    /** Both ends of a session compute the digest independently, so it must not change between releases. */
    @Test
    void theDigestOfMembersIsUnchanged() {
        assertEquals(MEMBERS_DIGEST, SessionTable.digest(List.of(GoldenMessages.DATA_PLANE)));
        assertEquals(
                MEMBERS_DIGEST_OF_TWO,
                SessionTable.digest(List.of(GoldenMessages.DATA_PLANE, GoldenMessages.CONTROL_PLANE)));
    }

    // ---- updates --------------------------------------------------------------------------------------

    @Test
    void decodesUpdatesOfDataPlanes() throws Exception {
        FleetUpdate complete = decode("update whole", FleetUpdate.class);
        assertArrayEquals(new byte[] {120, 1, -1}, complete.configuration);
        assertEquals(200, complete.configurationVersion);
        assertEquals(0, complete.baseVersion);
        assertHasTheThreeEndpoints(complete.endpointList);
        assertEquals(2, complete.members.size());
        assertIsDataPlane(complete.members.get(0));
        assertIsControlPlane(complete.members.get(1));
        FleetUpdate delta = decode("update delta", FleetUpdate.class);
        assertArrayEquals(new byte[] {120, 1, 0, 5}, delta.configuration);
        assertEquals(201, delta.configurationVersion);
        assertEquals(200, delta.baseVersion);
        assertNull(delta.endpointList);
        assertNull(delta.members);
        FleetUpdate endpoints = decode("update endpoints-only", FleetUpdate.class);
        assertNull(endpoints.configuration);
        assertEquals(0, endpoints.configurationVersion);
        assertEquals(10, endpoints.endpointList.version.fencingToken);
        assertEquals(1, endpoints.endpointList.version.revision);
        assertEquals(List.of(), endpoints.endpointList.endpoints);
        assertNull(endpoints.members);
        FleetUpdate members = decode("update members-only", FleetUpdate.class);
        assertNull(members.configuration);
        assertNull(members.endpointList);
        assertEquals(1, members.members.size());
        assertIsDataPlane(members.members.get(0));
    }

    @Test
    void decodesEndpointLists() throws Exception {
        assertHasTheThreeEndpoints(decode("endpoint-list", EndpointList.class));
        EndpointList empty = decode("endpoint-list empty", EndpointList.class);
        assertEquals(2, empty.version.fencingToken);
        assertEquals(3, empty.version.revision);
        assertEquals(List.of(), empty.endpoints);
    }

    private static void assertHasTheThreeEndpoints(EndpointList list) {
        assertEquals(9, list.version.fencingToken);
        assertEquals(130, list.version.revision);
        assertEquals(3, list.endpoints.size());
        Endpoint plain = list.endpoints.get(0);
        assertEquals("i-1", plain.instanceId);
        assertEquals("wuno", plain.service);
        assertEquals("10.1.0.1:8000", plain.address);
        assertNull(plain.zone);
        assertEquals(0, plain.slotCount);
        assertFalse(plain.draining);
        assertEquals(0, plain.warmupRemainingMs);
        assertNull(plain.stage);
        Endpoint prefill = list.endpoints.get(1);
        assertEquals("i-2", prefill.instanceId);
        assertEquals("huvo", prefill.service);
        assertEquals("10.1.0.2:8001", prefill.address);
        assertEquals("zone-a", prefill.zone);
        assertEquals(64, prefill.slotCount);
        assertTrue(prefill.draining);
        assertEquals(1_234.5, prefill.warmupRemainingMs);
        assertEquals("prefill", prefill.stage);
        Endpoint changing = list.endpoints.get(2);
        assertEquals("i-3", changing.instanceId);
        assertEquals("huvo", changing.service);
        assertEquals("10.1.0.3:8002", changing.address);
        assertEquals("zone-b", changing.zone);
        assertEquals(48, changing.slotCount);
        assertFalse(changing.draining);
        assertEquals(0.25, changing.warmupRemainingMs);
        assertEquals(Endpoint.CHANGING, changing.stage);
    }

    @Test
    void decodesHeartbeatsOfControlPlanes() throws Exception {
        ControlHeartbeat heartbeat = decode("control-heartbeat", ControlHeartbeat.class);
        assertEquals(77, heartbeat.sequence);
        assertEquals(2, heartbeat.sessions.size());
        assertIsDataPlane(heartbeat.sessions.get(0));
        assertIsControlPlane(heartbeat.sessions.get(1));
        assertEquals(List.of("10.0.0.1:7600", "10.0.0.3:7600"), heartbeat.controlAddresses);
        ControlHeartbeat empty = decode("control-heartbeat empty", ControlHeartbeat.class);
        assertEquals(78, empty.sequence);
        assertEquals(List.of(), empty.sessions);
        assertEquals(List.of(), empty.controlAddresses);
    }

    /** Configurations in updates are compressed with DEFLATE at the fastest level, with a zlib header. */
    @Test
    void inflatesAndDeflatesConfigurations() throws Exception {
        String text = "{\"config_version\":5}{\"config_version\":5}";
        byte[] plain = text.getBytes(StandardCharsets.US_ASCII);
        assertArrayEquals(plain, DeflateCodec.inflate(HexFormat.of().parseHex(DEFLATED), MessageCodec.MAX_BODY_BYTES));
        byte[] deflated = DeflateCodec.deflate(plain);
        assertEquals("7801", HexFormat.of().formatHex(deflated, 0, 2));
        assertArrayEquals(plain, DeflateCodec.inflate(deflated, MessageCodec.MAX_BODY_BYTES));
    }

    // ---- votes ----------------------------------------------------------------------------------------

    @Test
    void decodesVoteRequests() throws Exception {
        assertIsRequest(VoteRequest.Kind.PROBE, 21, "vote-request probe");
        assertIsRequest(VoteRequest.Kind.REQUEST_VOTE, 22, "vote-request ask");
        assertIsRequest(VoteRequest.Kind.RENEW, 23, "vote-request renew");
        assertIsRequest(VoteRequest.Kind.WITHDRAW, 24, "vote-request withdraw");
        assertIsRequest(VoteRequest.Kind.RELEASE, 25, "vote-request release");
    }

    private void assertIsRequest(VoteRequest.Kind kind, long round, String label) throws CorruptFrameException {
        VoteRequest request = decode(label, VoteRequest.class);
        assertEquals(kind, request.kind());
        assertEquals("list", request.duty());
        assertEquals("10.0.0.1:7600#1f", request.candidate());
        assertEquals("3kq0z", request.voterIdentity());
        assertEquals(round, request.round());
        assertEquals(6, request.fencingToken());
        assertEquals(3, request.voterSetGeneration());
    }

    @Test
    void decodesVoteReplies() throws Exception {
        VoteReply granted = decode("vote-reply granted", VoteReply.class);
        assertEquals(VoteReply.Verdict.GRANTED, granted.verdict());
        assertIsReply(granted, "3kq0z", "10.0.0.1:7600#1f", 22, 6, "10.0.0.1:7600#1f", 3_000);
        VoteReply rejected = decode("vote-reply refused", VoteReply.class);
        assertEquals(VoteReply.Verdict.REJECTED, rejected.verdict());
        assertIsReply(rejected, "3kq0z", "10.0.0.3:7600#2e", 31, 6, "10.0.0.1:7600#1f", 2_500);
        VoteReply abstained = decode("vote-reply abstained", VoteReply.class);
        assertEquals(VoteReply.Verdict.ABSTAINED, abstained.verdict());
        assertIsReply(abstained, "3kq0z", "c#3", 40, 0, null, 500);
        VoteReply other = decode("vote-reply not-the-one-asked", VoteReply.class);
        assertEquals(VoteReply.Verdict.WRONG_IDENTITY, other.verdict());
        assertIsReply(other, "other", "c#4", 50, 0, null, 0);
    }

    private static void assertIsReply(
            VoteReply reply,
            String voter,
            String candidate,
            long round,
            long highestToken,
            String grantedTo,
            double remainingMs) {
        assertEquals("list", reply.duty());
        assertEquals(voter, reply.voterIdentity());
        assertEquals("3kq0z", reply.requestedIdentity());
        assertEquals(candidate, reply.candidate());
        assertEquals(round, reply.round());
        assertEquals(highestToken, reply.highestToken());
        assertEquals(grantedTo, reply.grantedTo());
        assertEquals(remainingMs, reply.remainingMs());
    }

    // ---- register -------------------------------------------------------------------------------------

    @Test
    void decodesPrepareAndPromise() throws Exception {
        Prepare prepare = decode("prepare", Prepare.class);
        assertHasParties(prepare, "b91xy");
        assertIsBallot(prepare.ballot());
        assertIsEarlierBallot(prepare.chosenBallot());
        Promise promise = decode("promise", Promise.class);
        assertHasParties(promise, "b91xy");
        assertIsBallot(promise.ballot());
        assertIsEarlierBallot(promise.acceptedBallot());
        assertIsJointValue(promise.acceptedValue());
        Promise withoutValue = decode("promise without-value", Promise.class);
        assertHasParties(withoutValue, "b91xy");
        assertIsBallot(withoutValue.ballot());
        assertIsNone(withoutValue.acceptedBallot());
        assertNull(withoutValue.acceptedValue());
    }

    @Test
    void decodesAcceptAcceptedAndReject() throws Exception {
        Accept accept = decode("accept", Accept.class);
        assertHasParties(accept, "b91xy");
        assertIsBallot(accept.ballot());
        assertIsJointValue(accept.value());
        Accept withoutPayload = decode("accept without-payload", Accept.class);
        assertHasParties(withoutPayload, "b91xy");
        assertIsBallot(withoutPayload.ballot());
        assertIsValueWithoutPayload(withoutPayload.value());
        Accepted accepted = decode("accepted", Accepted.class);
        assertHasParties(accepted, "b91xy");
        assertIsBallot(accepted.ballot());
        Reject reject = decode("reject", Reject.class);
        assertHasParties(reject, "b91xy");
        assertIsBallot(reject.ballot());
        assertIsEarlierBallot(reject.promisedBallot());
    }

    @Test
    void decodesCatchUpMessagesOfTheRegister() throws Exception {
        StatusQuery fetching = decode("status-query fetching", StatusQuery.class);
        assertHasParties(fetching, "");
        assertEquals(600, fetching.queryId());
        assertIsEarlierBallot(fetching.chosenBallot());
        assertTrue(fetching.wantsValue());
        StatusQuery query = decode("status-query", StatusQuery.class);
        assertHasParties(query, "");
        assertEquals(-601, query.queryId());
        assertIsEarlierBallot(query.chosenBallot());
        assertFalse(query.wantsValue());
        StatusReport report = decode("status-report", StatusReport.class);
        assertHasParties(report, "b91xy");
        assertEquals(600, report.queryId());
        assertIsBallot(report.acceptedBallot());
        assertIsJointSet(report.acceptedAcceptors());
        assertIsEarlierBallot(report.chosenBallot());
        assertEquals(40, report.chosenRevision());
        assertIsValueWithoutPayload(report.chosenValue());
        StatusReport empty = decode("status-report nothing", StatusReport.class);
        assertHasParties(empty, "b91xy");
        assertEquals(5, empty.queryId());
        assertIsNone(empty.acceptedBallot());
        assertNull(empty.acceptedAcceptors());
        assertIsNone(empty.chosenBallot());
        assertEquals(0, empty.chosenRevision());
        assertNull(empty.chosenValue());
        Chosen chosen = decode("chosen", Chosen.class);
        assertHasParties(chosen, "b91xy");
        assertIsBallot(chosen.ballot());
        assertEquals(42, chosen.revision());
    }

    private static void assertHasParties(RegisterMessage message, String recipientIdentity) {
        assertEquals("10.0.0.2:7600", message.senderAddress());
        assertEquals("3kq0z", message.senderIdentity());
        assertEquals(recipientIdentity, message.recipientIdentity());
    }

    private static void assertIsBallot(Ballot ballot) {
        assertEquals(300, ballot.round());
        assertEquals("3kq0z#a7", ballot.proposer());
    }

    private static void assertIsEarlierBallot(Ballot ballot) {
        assertEquals(12, ballot.round());
        assertEquals("b91xy#05", ballot.proposer());
    }

    private static void assertIsNone(Ballot ballot) {
        assertEquals(0, ballot.round());
        assertEquals("", ballot.proposer());
    }

    private static void assertIsJointValue(RegisterValue value) {
        assertIsJointSet(value.acceptors());
        assertEquals(41, value.revision());
        assertArrayEquals(new byte[] {64, 0, -1, 127}, value.payload());
    }

    private static void assertIsJointSet(AcceptorSet set) {
        assertEquals(7, set.generation());
        assertEquals(2, set.members().size());
        assertIsAcceptor("10.0.0.1:7600", "founder@10.0.0.1:7600", set.members().get(0));
        assertIsAcceptor("10.0.0.2:7600", "3kq0z", set.members().get(1));
        assertEquals(2, set.joining().size());
        assertIsAcceptor("10.0.0.2:7600", "3kq0z", set.joining().get(0));
        assertIsAcceptor("10.0.0.3:7600", "b91xy", set.joining().get(1));
    }

    private static void assertIsAcceptor(String address, String identity, AcceptorId acceptor) {
        assertEquals(address, acceptor.address());
        assertEquals(identity, acceptor.identity());
    }

    private static void assertIsValueWithoutPayload(RegisterValue value) {
        assertEquals(0, value.acceptors().generation());
        assertEquals(1, value.acceptors().members().size());
        assertIsAcceptor(
                "10.0.0.1:7600",
                "founder@10.0.0.1:7600",
                value.acceptors().members().get(0));
        assertEquals(List.of(), value.acceptors().joining());
        assertEquals(1, value.revision());
        assertNull(value.payload());
    }
}
