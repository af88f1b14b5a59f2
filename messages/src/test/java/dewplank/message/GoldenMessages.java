package dewplank.message;

import dewplank.membership.Member;
import dewplank.register.Accept;
import dewplank.register.Accepted;
import dewplank.register.AcceptorId;
import dewplank.register.AcceptorSet;
import dewplank.register.Ballot;
import dewplank.register.Chosen;
import dewplank.register.Prepare;
import dewplank.register.Promise;
import dewplank.register.RegisterValue;
import dewplank.register.Reject;
import dewplank.register.StatusQuery;
import dewplank.register.StatusReport;
import dewplank.singleton.LeaseVoter;
import dewplank.singleton.VoteReply;
import dewplank.singleton.VoteRequest;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** The messages whose frames are recorded in {@code golden/frames.txt}, by label. The fields of a message differ. */
final class GoldenMessages {
    static final Member DATA_PLANE = new Member("node-4", Member.DATA, "10.0.0.4:7601", "zone-b", 1_700_000_000_123L);
    static final Member CONTROL_PLANE = new Member("node-1", Member.CONTROL, "10.0.0.1:7600", null, -5);
    static final AcceptorId FIRST = new AcceptorId("10.0.0.1:7600", "founder@10.0.0.1:7600");
    static final AcceptorId SECOND = new AcceptorId("10.0.0.2:7600", "3kq0z");
    static final AcceptorId THIRD = new AcceptorId("10.0.0.3:7600", "b91xy");
    static final RegisterValue JOINT_VALUE = new RegisterValue(
            new AcceptorSet(7, List.of(FIRST, SECOND), List.of(SECOND, THIRD)), 41, new byte[] {64, 0, -1, 127});
    static final RegisterValue VALUE_WITHOUT_PAYLOAD = new RegisterValue(AcceptorSet.of(List.of(FIRST)), 1, null);
    static final Ballot BALLOT = new Ballot(300, "3kq0z#a7");
    static final Ballot EARLIER_BALLOT = new Ballot(12, "b91xy#05");
    static final EndpointList ENDPOINTS = endpoints();

    private static final String SENDER = "10.0.0.2:7600";
    private static final String SENDER_IDENTITY = "3kq0z";
    private static final String RECIPIENT_IDENTITY = "b91xy";
    private static final double LEASE_MS = 3_000;

    private GoldenMessages() {}

    /** A list with a plain server, a prefill server, and a server that is changing its stage. */
    private static EndpointList endpoints() {
        return new EndpointList(
                new EndpointListVersion(9, 130),
                List.of(
                        new Endpoint("i-1", "wuno", "10.1.0.1:8000", null, 0, false, 0, null),
                        new Endpoint("i-2", "huvo", "10.1.0.2:8001", "zone-a", 64, true, 1_234.5, "prefill"),
                        new Endpoint("i-3", "huvo", "10.1.0.3:8002", "zone-b", 48, false, 0.25, "changing")));
    }

    static Map<String, Object> byLabel() {
        Map<String, Object> messages = new LinkedHashMap<>();
        addSessions(messages);
        addUpdates(messages);
        addVotes(messages);
        addRegister(messages);
        addQuotas(messages);
        return messages;
    }

    private static void addSessions(Map<String, Object> messages) {
        messages.put("control-hello durable", new ControlHello(CONTROL_PLANE, "founder@10.0.0.1:7600", true));
        messages.put("control-hello relay", new ControlHello(CONTROL_PLANE, "b91xy", false));
        messages.put("session-open", new SessionOpen(DATA_PLANE));
        messages.put("session-heartbeat", new SessionHeartbeat(17, 200, new EndpointListVersion(9, 130), -2));
        messages.put("session-heartbeat empty-handed", new SessionHeartbeat(1, 0, EndpointListVersion.NONE, 0));
        messages.put("heartbeat-ack quorate", new HeartbeatAck(17, true, List.of("10.0.0.1:7600", "10.0.0.2:7600")));
        messages.put("heartbeat-ack alone", new HeartbeatAck(18, false, List.of()));
    }

    private static void addQuotas(Map<String, Object> messages) {
        messages.put("quota-request", new QuotaRequest(70, "acme", 3, false));
        messages.put("quota-request forwarded", new QuotaRequest(71, "acme", 1, true));
        messages.put("quota-reply granted", QuotaReply.granted(70, 2));
        messages.put("quota-reply exhausted", QuotaReply.exhausted(71, 62.5));
        messages.put("quota-reply unavailable", QuotaReply.unavailable(72));
    }

    private static void addUpdates(Map<String, Object> messages) {
        List<Member> members = List.of(DATA_PLANE, CONTROL_PLANE);
        messages.put("update whole", new FleetUpdate(new byte[] {120, 1, -1}, 200, 0, ENDPOINTS, members));
        messages.put("update delta", new FleetUpdate(new byte[] {120, 1, 0, 5}, 201, 200, null, null));
        messages.put(
                "update endpoints-only",
                new FleetUpdate(null, 0, 0, new EndpointList(new EndpointListVersion(10, 1), List.of()), null));
        messages.put("update members-only", new FleetUpdate(null, 0, 0, null, List.of(DATA_PLANE)));
        messages.put(
                "control-heartbeat",
                new ControlHeartbeat(
                        77, List.of(DATA_PLANE, CONTROL_PLANE), List.of("10.0.0.1:7600", "10.0.0.3:7600")));
        messages.put("control-heartbeat empty", new ControlHeartbeat(78, List.of(), List.of()));
        messages.put("endpoint-list", ENDPOINTS);
        messages.put("endpoint-list empty", new EndpointList(new EndpointListVersion(2, 3), List.of()));
    }

    private static void addVotes(Map<String, Object> messages) {
        messages.put("vote-request probe", request(VoteRequest.Kind.PROBE, 21));
        messages.put("vote-request ask", request(VoteRequest.Kind.REQUEST_VOTE, 22));
        messages.put("vote-request renew", request(VoteRequest.Kind.RENEW, 23));
        messages.put("vote-request withdraw", request(VoteRequest.Kind.WITHDRAW, 24));
        messages.put("vote-request release", request(VoteRequest.Kind.RELEASE, 25));
        messages.put(
                "vote-reply granted",
                reply(SENDER_IDENTITY, 0, 1_000, List.of(voteRequest("10.0.0.1:7600#1f", 22, 6))));
        messages.put(
                "vote-reply refused",
                reply(
                        SENDER_IDENTITY,
                        0,
                        1_000,
                        List.of(voteRequest("10.0.0.1:7600#1f", 22, 6), voteRequest("10.0.0.3:7600#2e", 31, 8))));
        messages.put("vote-reply abstained", reply(SENDER_IDENTITY, 1_500, 1_000, List.of(voteRequest("c#3", 40, 9))));
        messages.put("vote-reply not-the-one-asked", reply("other", 0, 1_000, List.of(voteRequest("c#4", 50, 10))));
    }

    private static VoteRequest request(VoteRequest.Kind kind, long round) {
        return new VoteRequest(kind, "list", "10.0.0.1:7600#1f", SENDER_IDENTITY, round, 6, 3);
    }

    private static VoteRequest voteRequest(String candidate, long round, long token) {
        return new VoteRequest(VoteRequest.Kind.REQUEST_VOTE, "list", candidate, SENDER_IDENTITY, round, token, 0);
    }

    /** Returns the last reply of a voter that receives these requests one after another, 500 ms apart. */
    private static VoteReply reply(String identity, double abstainsUntil, double now, List<VoteRequest> requests) {
        List<VoteReply> replies = new ArrayList<>();
        LeaseVoter voter = new LeaseVoter(identity, LEASE_MS, abstainsUntil, Map.of());
        LeaseVoter.Effects out = new LeaseVoter.Effects() {
            @Override
            public void persistToken(VoteRequest request, VoteReply reply) {
                replies.add(reply);
            }

            @Override
            public void send(VoteReply reply) {
                replies.add(reply);
            }

            @Override
            public void leaseReleased(String duty) {}
        };
        double at = now;
        for (VoteRequest request : requests) {
            voter.onVoteRequest(at, request, out);
            at += 500;
        }
        return replies.get(replies.size() - 1);
    }

    private static void addRegister(Map<String, Object> messages) {
        messages.put("prepare", new Prepare(SENDER, SENDER_IDENTITY, RECIPIENT_IDENTITY, BALLOT, EARLIER_BALLOT));
        messages.put(
                "promise",
                new Promise(SENDER, SENDER_IDENTITY, RECIPIENT_IDENTITY, BALLOT, EARLIER_BALLOT, JOINT_VALUE));
        messages.put(
                "promise without-value",
                new Promise(SENDER, SENDER_IDENTITY, RECIPIENT_IDENTITY, BALLOT, Ballot.NONE, null));
        messages.put("accept", new Accept(SENDER, SENDER_IDENTITY, RECIPIENT_IDENTITY, BALLOT, JOINT_VALUE));
        messages.put(
                "accept without-payload",
                new Accept(SENDER, SENDER_IDENTITY, RECIPIENT_IDENTITY, BALLOT, VALUE_WITHOUT_PAYLOAD));
        messages.put("accepted", new Accepted(SENDER, SENDER_IDENTITY, RECIPIENT_IDENTITY, BALLOT));
        messages.put("reject", new Reject(SENDER, SENDER_IDENTITY, RECIPIENT_IDENTITY, BALLOT, EARLIER_BALLOT));
        messages.put("status-query fetching", new StatusQuery(SENDER, SENDER_IDENTITY, "", 600, EARLIER_BALLOT, true));
        messages.put("status-query", new StatusQuery(SENDER, SENDER_IDENTITY, "", -601, EARLIER_BALLOT, false));
        messages.put(
                "status-report",
                new StatusReport(
                        SENDER,
                        SENDER_IDENTITY,
                        RECIPIENT_IDENTITY,
                        600,
                        BALLOT,
                        JOINT_VALUE.acceptors(),
                        EARLIER_BALLOT,
                        40,
                        VALUE_WITHOUT_PAYLOAD));
        messages.put(
                "status-report nothing",
                new StatusReport(
                        SENDER, SENDER_IDENTITY, RECIPIENT_IDENTITY, 5, Ballot.NONE, null, Ballot.NONE, 0, null));
        messages.put("chosen", new Chosen(SENDER, SENDER_IDENTITY, RECIPIENT_IDENTITY, BALLOT, 42));
    }
}
