package dewplank.controlplane;

import dewplank.membership.Member;
import dewplank.message.Endpoint;
import dewplank.register.AcceptorId;
import java.util.List;
import java.util.Optional;

/**
 * The state of the fleet according to this control plane, as JSON for the operators' client. The documentation
 * specifies the field names. Must be used on the loop's thread only.
 */
final class OperatorViews implements OperatorApi.Views {
    private final ControlComponents components;

    OperatorViews(ControlComponents components) {
        this.components = components;
    }

    @Override
    public String members() {
        List<Member> data = components.sessionTable().members(components.loop().now());
        List<Member> control = components.mesh().peers(Double.POSITIVE_INFINITY).stream()
                .map(ControlMesh.Peer::member)
                .toList();
        return JsonText.object(
                        JsonText.field("answered_by", components.node()),
                        members("data", data),
                        members("control", control))
                + "\n";
    }

    private static String members(String kind, List<Member> members) {
        return JsonText.rawField(
                kind, JsonText.array(members.stream().map(OperatorViews::member).toList()));
    }

    private static String member(Member m) {
        return JsonText.object(
                JsonText.field("node", m.node),
                JsonText.field("address", m.address),
                JsonText.field("zone", m.zone),
                JsonText.rawField("incarnation", m.incarnation));
    }

    @Override
    public String duties() {
        SingletonRole list = components.roles().endpointList();
        return JsonText.object(
                        JsonText.field("answered_by", components.node()),
                        JsonText.rawField(
                                "list",
                                JsonText.object(
                                        JsonText.rawField("held_here", list.isLeaseHolder()),
                                        JsonText.rawField("fencing_number", list.fencingToken()))))
                + "\n";
    }

    @Override
    public String servers() {
        List<String> servers = components.poller().newest().endpoints.stream()
                .map(OperatorViews::server)
                .toList();
        return JsonText.object(
                        JsonText.field(
                                "version", components.poller().newest().version.toString()),
                        JsonText.rawField("servers", JsonText.array(servers)))
                + "\n";
    }

    @Override
    public Optional<String> server(String instanceId) {
        for (Endpoint s : components.poller().newest().endpoints) {
            if (s.instanceId.equals(instanceId)) {
                return Optional.of(server(s) + "\n");
            }
        }
        return Optional.empty();
    }

    private static String server(Endpoint s) {
        return JsonText.object(
                JsonText.field("instance_id", s.instanceId),
                JsonText.field("service", s.service),
                JsonText.field("address", s.address),
                JsonText.field("zone", s.zone),
                JsonText.field("stage", s.stage),
                JsonText.rawField("draining", s.draining),
                JsonText.rawField("slot_count", s.slotCount));
    }

    @Override
    public String status() {
        List<String> acceptors = components.configuration().acceptors().all().stream()
                .map(OperatorViews::acceptor)
                .toList();
        return JsonText.object(
                        JsonText.field("node", components.node()),
                        JsonText.rawField(
                                "quorate", components.configuration().hasQuorum(QuorumConfirmation.QUORUM_VALIDITY_MS)),
                        JsonText.rawField(
                                "current", components.configuration().isCurrent(QuorumConfirmation.QUORUM_VALIDITY_MS)),
                        JsonText.rawField(
                                "quorum_age_ms", components.configuration().quorumAgeMs()),
                        JsonText.rawField(
                                "holds_list_duty",
                                components.roles().endpointList().isLeaseHolder()),
                        JsonText.rawField(
                                "acceptors_generation",
                                components.configuration().acceptors().generation()),
                        JsonText.rawField(
                                "founders_lost", components.founderTracker().areFoundersLost()),
                        JsonText.rawField(
                                "disk_refused", components.diskFailure().isPresent()),
                        JsonText.rawField("config_version", components.history().version()),
                        JsonText.rawField("acceptors", JsonText.array(acceptors)))
                + "\n";
    }

    @Override
    public String dataPlanes() {
        double nowMs = components.loop().now();
        List<String> reports = components.sessions().reports().stream()
                .map(report -> dataPlane(report, nowMs))
                .toList();
        return JsonText.object(
                        JsonText.field("answered_by", components.node()),
                        JsonText.rawField("config_version", components.history().version()),
                        JsonText.rawField("data_planes", JsonText.array(reports)))
                + "\n";
    }

    private static String dataPlane(DataPlaneReports.Report report, double nowMs) {
        Member member = report.member();
        return JsonText.object(
                JsonText.field("node", member.node),
                JsonText.field("address", member.address),
                JsonText.field("zone", member.zone),
                JsonText.rawField("incarnation", member.incarnation),
                JsonText.rawField("config_version", report.configurationVersion()),
                JsonText.rawField("since_ms", Math.round(nowMs - report.sinceMs())),
                JsonText.rawField("heard_ms_ago", Math.round(nowMs - report.lastHeartbeatAtMs())),
                JsonText.rawField("session", report.hasSession()));
    }

    private static String acceptor(AcceptorId a) {
        return JsonText.object(JsonText.field("address", a.address()), JsonText.field("identity", a.identity()));
    }
}
