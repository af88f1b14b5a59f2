package dewplank.controlplane;

import dewplank.membership.Member;
import dewplank.message.Endpoint;
import dewplank.register.AcceptorId;
import java.util.List;
import java.util.Optional;

/** What this control sidecar knows, as JSON for the operator's client. */
final class OperatorViews implements OperatorApi.Views {
    private final ControlPlane plane;

    OperatorViews(ControlPlane plane) {
        this.plane = plane;
    }

    @Override
    public String members() {
        List<Member> data = plane.table().members(plane.now());
        List<Member> control = plane.mesh().peers(Double.POSITIVE_INFINITY).stream()
                .map(ControlMesh.Peer::member)
                .toList();
        return JsonText.object(
                        JsonText.field("answered_by", plane.node()), members("data", data), members("control", control))
                + "\n";
    }

    private static String members(String kind, List<Member> members) {
        return JsonText.plain(
                kind, JsonText.array(members.stream().map(OperatorViews::member).toList()));
    }

    private static String member(Member m) {
        return JsonText.object(
                JsonText.field("node", m.node),
                JsonText.field("address", m.address),
                JsonText.field("zone", m.zone),
                JsonText.plain("incarnation", m.incarnation));
    }

    @Override
    public String duties() {
        SingletonRole list = plane.duties().endpointList();
        return JsonText.object(
                        JsonText.field("answered_by", plane.node()),
                        JsonText.plain(
                                "list",
                                JsonText.object(
                                        JsonText.plain("held_here", list.isHeld()),
                                        JsonText.plain("fencing_number", list.fencingToken()))))
                + "\n";
    }

    @Override
    public String servers() {
        List<String> servers = plane.poller().newest().endpoints.stream()
                .map(OperatorViews::server)
                .toList();
        return JsonText.object(
                        JsonText.field(
                                "version", plane.poller().newest().version.toString()),
                        JsonText.plain("servers", JsonText.array(servers)))
                + "\n";
    }

    @Override
    public Optional<String> server(String instanceId) {
        for (Endpoint s : plane.poller().newest().endpoints) {
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
                JsonText.plain("draining", s.draining),
                JsonText.plain("slot_count", s.slotCount));
    }

    @Override
    public String status() {
        List<String> acceptors = plane.configuration().acceptors().all().stream()
                .map(OperatorViews::acceptor)
                .toList();
        return JsonText.object(
                        JsonText.field("node", plane.node()),
                        JsonText.plain(
                                "quorate", plane.configuration().hasQuorum(QuorumConfirmation.QUORUM_VALIDITY_MS)),
                        JsonText.plain(
                                "current", plane.configuration().isCurrent(QuorumConfirmation.QUORUM_VALIDITY_MS)),
                        JsonText.plain("quorum_age_ms", plane.configuration().quorumAgeMs()),
                        JsonText.plain(
                                "holds_list_duty", plane.duties().endpointList().isHeld()),
                        JsonText.plain(
                                "acceptors_generation",
                                plane.configuration().acceptors().generation()),
                        JsonText.plain("config_version", plane.history().version()),
                        JsonText.plain("acceptors", JsonText.array(acceptors)))
                + "\n";
    }

    private static String acceptor(AcceptorId a) {
        return JsonText.object(JsonText.field("address", a.address()), JsonText.field("identity", a.identity()));
    }
}
