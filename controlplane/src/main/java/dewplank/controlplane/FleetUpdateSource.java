package dewplank.controlplane;

import dewplank.membership.Member;
import dewplank.membership.SessionTable;
import dewplank.message.ConfirmedConfiguration;
import dewplank.message.EndpointList;
import dewplank.message.FleetUpdate;
import dewplank.net.Scheduler;
import java.util.List;
import java.util.Optional;

/**
 * Creates the updates for data planes. An update contains the configuration and the endpoint list if they are newer
 * than the data plane's versions, and the members if they differ. A control plane without a disk sends no updates, only
 * the addresses of other control planes. Must be used on the loop's thread only.
 */
final class FleetUpdateSource implements DataPlaneSessions.UpdateSource {
    private final Scheduler loop;
    private final boolean durable;
    private final ConfigurationStore configuration;
    private final ConfigurationHistory history;
    private final EndpointPoller poller;
    private final SessionTable table;
    private final ControlMesh mesh;

    /** @param durable whether this process has a disk */
    FleetUpdateSource(
            Scheduler loop,
            boolean durable,
            ConfigurationStore configuration,
            ConfigurationHistory history,
            EndpointPoller poller,
            SessionTable table,
            ControlMesh mesh) {
        this.loop = loop;
        this.durable = durable;
        this.configuration = configuration;
        this.history = history;
        this.poller = poller;
        this.table = table;
        this.mesh = mesh;
    }

    @Override
    public Optional<FleetUpdate> newerThan(DataPlaneVersions versions) {
        boolean newerConfiguration = history.version() > versions.configurationVersion();
        EndpointList endpointList = poller.newest();
        boolean newerList = endpointList.version.compareTo(versions.listVersion()) > 0;
        List<Member> members = table.members(loop.now());
        boolean membersDiffer = SessionTable.digest(members) != versions.membersDigest();
        if (!durable || !newerConfiguration && !newerList && !membersDiffer) {
            return Optional.empty();
        }
        ConfigurationHistory.EncodedUpdate update = newerConfiguration
                ? history.updateFrom(versions.configurationVersion())
                : new ConfigurationHistory.EncodedUpdate(null, 0);
        return Optional.of(new FleetUpdate(
                update.bytes(),
                newerConfiguration ? history.version() : 0,
                update.baseVersion(),
                newerList ? endpointList : null,
                membersDiffer ? members : null));
    }

    @Override
    public boolean isCurrent() {
        return durable && configuration.isCurrent(QuorumConfirmation.QUORUM_VALIDITY_MS);
    }

    @Override
    public Optional<ConfirmedConfiguration> confirmedConfiguration() {
        double confirmedAtMs = configuration.lastCurrentAtMs();
        if (!durable || history.version() == 0 || confirmedAtMs == Double.NEGATIVE_INFINITY) {
            return Optional.empty();
        }
        return Optional.of(new ConfirmedConfiguration(history.version(), loop.now() - confirmedAtMs));
    }

    @Override
    public List<String> controlAddresses() {
        return isCurrent() ? mesh.liveAddresses() : mesh.addressesLiveFirst();
    }
}
