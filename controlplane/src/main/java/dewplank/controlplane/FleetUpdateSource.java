package dewplank.controlplane;

import dewplank.membership.Member;
import dewplank.membership.SessionTable;
import dewplank.message.EndpointList;
import dewplank.message.FleetUpdate;
import dewplank.net.Scheduler;
import java.util.List;

/** What data planes are told: of configuration, servers and members that which is newer than what they hold. */
final class FleetUpdateSource implements DataPlaneSessions.Source {
    private final Scheduler loop;
    private final boolean durable;
    private final ConfigurationStore configuration;
    private final ConfigurationHistory history;
    private final EndpointPoller lister;
    private final SessionTable table;
    private final ControlMesh mesh;

    /** @param durable whether this process has a disk; one without only tells where others are */
    FleetUpdateSource(
            Scheduler loop,
            boolean durable,
            ConfigurationStore configuration,
            ConfigurationHistory history,
            EndpointPoller lister,
            SessionTable table,
            ControlMesh mesh) {
        this.loop = loop;
        this.durable = durable;
        this.configuration = configuration;
        this.history = history;
        this.lister = lister;
        this.table = table;
        this.mesh = mesh;
    }

    @Override
    public FleetUpdate newerThan(DataPlaneSessions.Held held) {
        boolean newerConfiguration = history.version() > held.configurationVersion;
        EndpointList servers = lister.newest();
        boolean newerList = servers.version.compareTo(held.listVersion) > 0;
        List<Member> members = table.members(loop.now());
        boolean otherMembers = SessionTable.digest(members) != held.membersDigest;
        if (!durable || !newerConfiguration && !newerList && !otherMembers) {
            return null;
        }
        ConfigurationHistory.Encoded update = newerConfiguration
                ? history.updateFrom(held.configurationVersion)
                : new ConfigurationHistory.Encoded(null, 0);
        return new FleetUpdate(
                update.bytes(),
                newerConfiguration ? history.version() : 0,
                update.baseVersion(),
                newerList ? servers : null,
                otherMembers ? members : null);
    }

    @Override
    public boolean quorate() {
        return durable && configuration.current(QuorumConfirmation.QUORATE_MS);
    }

    @Override
    public List<String> controlAddresses() {
        return quorate() ? mesh.liveAddresses() : mesh.addressesLiveFirst();
    }
}
