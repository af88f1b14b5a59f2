package dewplank.controlplane;

import dewplank.configuration.Configuration;
import dewplank.membership.Member;
import dewplank.membership.SessionTable;
import dewplank.message.ControlHeartbeat;
import dewplank.message.ControlHello;
import dewplank.message.EndpointList;
import dewplank.message.EndpointListVersion;
import dewplank.message.MessageCodec;
import dewplank.message.MessageLink;
import dewplank.message.QuotaRequest;
import dewplank.net.Scheduler;
import dewplank.quota.QuotaBounds;
import dewplank.register.AcceptorId;
import dewplank.register.RegisterMessage;
import dewplank.routing.Policy;
import dewplank.settings.NodeSettings;
import dewplank.singleton.LeaseTiming;
import dewplank.store.StoreException;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.random.RandomGenerator;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Creates the components of a control plane and connects them to each other. {@link ControlPlane} starts and stops
 * them.
 *
 * <p>The components are created in a fixed order, because some draw random numbers when they are created and a
 * simulation has to be able to replay them. After construction, must be used on the loop's thread only.
 */
final class ControlComponents {
    private static final Logger LOG = LoggerFactory.getLogger(ControlComponents.class);

    /** A data plane is no longer a member when no heartbeat has arrived from it for this time. */
    private static final double SESSION_LEASE_MS = 2_000;

    private final Scheduler loop;
    private final String node;
    private final String address;
    private final boolean durable;
    private final Storage storage;
    private final Optional<StoreException> diskFailure;
    private final DiskRecovery diskRecovery;
    private final ControlMesh mesh;
    private final ConfigurationStore configuration;
    private final ConfigurationHistory history = new ConfigurationHistory();
    private final QuorumConfirmation confirmation;
    private final FounderTracker founderTracker;
    private final QuorumLog quorumLog;
    private final SingletonRoles roles;
    private final EndpointPoller poller;
    private final SessionTable sessionTable = new SessionTable(SESSION_LEASE_MS);
    private final DataPlaneSessions sessions;
    private final StallDetector stallDetector;
    private final AcceptorReconfigurer reconfigurer;
    private final StageController stageController;
    private final OperatorApi operatorApi;
    private final PeerMessageDispatcher dispatcher;
    private final QuotaShares quotaShares;
    private final QuotaTokens quotaTokens;
    private Set<String> seeds = Set.of();

    /**
     * Opens the disk and creates all components, without starting them.
     *
     * @param onDiskUsable called on the loop's thread when a disk that could not be opened here has become usable
     */
    ControlComponents(
            NodeSettings settings,
            ControlEnvironment environment,
            MessageCodec codec,
            Policy policy,
            Runnable onDiskUsable) {
        NodeSettings.Bounds bounds = settings.bounds();
        loop = environment.scheduler();
        node = settings.nodeName();
        address = settings.address() + ":" + settings.internalPorts()[0];
        RandomGenerator random = environment.random();
        Bootstrap.OpenedStorage opened = Bootstrap.openStorage(settings, environment, codec, address);
        storage = opened.storage();
        durable = storage.isDurable();
        diskFailure = opened.diskFailure();
        diskRecovery = new DiskRecovery(
                loop,
                environment.disk(),
                () -> Bootstrap.openDiskStorage(settings, environment, codec, address)
                        .releaseFiles(),
                onDiskUsable);
        AcceptorId self = new AcceptorId(address, storage.identity());
        Member member = new Member(node, Member.CONTROL, address, settings.zone(), environment.wallClockMs());
        ControlHello hello = new ControlHello(member, storage.identity(), durable);
        mesh = new ControlMesh(loop, environment.transport(), hello, new MeshHandler());
        configuration = new ConfigurationStore(
                loop,
                address,
                Bootstrap.initialAcceptors(storage, address),
                storage.recovered(),
                storage,
                random,
                new RegisterCallbacks());
        founderTracker = new FounderTracker(
                loop, Bootstrap.initialAcceptors(storage, address), bounds.catchUpMs(), storage, mesh, configuration);
        confirmation = new QuorumConfirmation(loop, storage.identity(), durable, mesh, configuration, history);
        quorumLog = new QuorumLog(loop, () -> configuration.hasQuorum(QuorumConfirmation.QUORUM_VALIDITY_MS));
        double roleLeaseMs = LeaseTiming.leaseMs(bounds.catchUpMs(), bounds.contactMs(), bounds.drainMs());
        roles = new SingletonRoles(loop, self, roleLeaseMs, storage, random, configuration, mesh::send);
        SingletonRole role = roles.endpointList();
        poller = new EndpointPoller(loop, environment.platform(), role, bounds.drainMs(), this::onListPublished);
        sessions = new DataPlaneSessions(
                loop,
                sessionTable,
                new FleetUpdateSource(loop, durable, configuration, history, poller, sessionTable, mesh));
        stallDetector = new StallDetector(loop, this::onStall);
        reconfigurer = new AcceptorReconfigurer(loop, self, bounds.catchUpMs(), mesh, configuration, role);
        stageController =
                new StageController(loop, node, bounds.leaseMs(), poller, role, environment.modelServers(), policy);
        operatorApi = new OperatorApi(
                configuration,
                new QuorumRedirects(
                        settings.control().getPort(),
                        address,
                        mesh,
                        confirmation::canConfirm,
                        founderTracker::areFoundersLost),
                new OperatorViews(this));
        quotaTokens = new QuotaTokens(loop, quotaBounds(bounds), new QuotaPeers(), random);
        quotaShares = new QuotaShares(loop, address, role, quotaTokens::updateShare);
        dispatcher = newDispatcher();
    }

    /** Creates the dispatcher. Called after the components that receive its messages have been created. */
    private PeerMessageDispatcher newDispatcher() {
        return new PeerMessageDispatcher(
                loop,
                configuration,
                sessionTable,
                sessions,
                mesh,
                poller,
                storage,
                roles,
                founderTracker,
                quotaShares,
                quotaTokens);
    }

    private static QuotaBounds quotaBounds(NodeSettings.Bounds bounds) {
        NodeSettings.Quota quota = bounds.quota();
        return new QuotaBounds(quota.windowMs(), quota.overshoot(), quota.slack());
    }

    /** Replaces the seeds by those of the settings and connects to the new ones. */
    void updateSeeds(NodeSettings settings) {
        seeds = new LinkedHashSet<>(Bootstrap.seeds(settings));
        mesh.addAddresses(seeds);
    }

    /** Creates the handler of a connection that another process has opened. */
    MessageLink.Handler inboundLink() {
        return new InboundLink(durable, mesh, sessions, confirmation, dispatcher, quotaShares, quotaTokens);
    }

    private void onStall(double stalledMs) {
        LOG.info("event loop stalled stalledMs={}", Math.round(stalledMs));
        mesh.extendTimeouts(stalledMs);
        sessions.extendLeases(stalledMs);
    }

    private void onListPublished(EndpointList list) {
        mesh.broadcast(list);
        sessions.pushUpdates();
        storage.saveList(list);
    }

    private final class MeshHandler implements ControlMesh.Handler {
        @Override
        public ControlHeartbeat createHeartbeat(long sequence) {
            stallDetector.check();
            return new ControlHeartbeat(
                    sequence,
                    sessionTable.localSessions(loop.now()),
                    mesh.liveAddresses(),
                    founderTracker.report(),
                    durable ? quotaShares.beginHeartbeat(sequence) : null);
        }

        @Override
        public void onMessage(String from, Object message) {
            dispatcher.dispatch(from, message);
        }

        @Override
        public void onLinkUp(String to) {
            if (!poller.newest().version.equals(EndpointListVersion.NONE)) {
                mesh.send(to, poller.newest());
            }
            if (durable) {
                configuration.queryPeer(to);
            }
        }

        @Override
        public boolean isRetained(String other) {
            return seeds.contains(other)
                    || configuration.acceptors().all().stream()
                            .anyMatch(a -> a.address().equals(other));
        }
    }

    private final class RegisterCallbacks implements ConfigurationStore.RegisterEnvironment {
        @Override
        public void send(String to, RegisterMessage message) {
            mesh.send(to, message);
        }

        @Override
        public void onConfigurationChosen(Configuration newer) {
            if (history.add(newer)) {
                stallDetector.check();
                LOG.info("configuration chosen version={}", newer.version());
                quotaTokens.updateLimits(newer);
                sessions.pushUpdates();
            }
        }
    }

    /** The other control planes that have a disk and whose links are up. */
    private final class QuotaPeers implements QuotaTokens.Peers {
        @Override
        public List<String> addresses() {
            return mesh.liveAddresses().stream()
                    .filter(other -> !other.equals(address))
                    .toList();
        }

        @Override
        public void send(String to, QuotaRequest request) {
            mesh.send(to, request);
        }
    }

    // ---- the components -------------------------------------------------------------------------------

    Scheduler loop() {
        return loop;
    }

    String node() {
        return node;
    }

    /** The address at which this process accepts links from the others, as IP:PORT. */
    String address() {
        return address;
    }

    /** Whether this process uses a disk. */
    boolean isDurable() {
        return durable;
    }

    /** Why the disk could not be used when this process started; empty if it is in use or there is none. */
    Optional<StoreException> diskFailure() {
        return diskFailure;
    }

    DiskRecovery diskRecovery() {
        return diskRecovery;
    }

    Storage storage() {
        return storage;
    }

    ControlMesh mesh() {
        return mesh;
    }

    ConfigurationStore configuration() {
        return configuration;
    }

    ConfigurationHistory history() {
        return history;
    }

    QuorumLog quorumLog() {
        return quorumLog;
    }

    FounderTracker founderTracker() {
        return founderTracker;
    }

    SingletonRoles roles() {
        return roles;
    }

    EndpointPoller poller() {
        return poller;
    }

    SessionTable sessionTable() {
        return sessionTable;
    }

    DataPlaneSessions sessions() {
        return sessions;
    }

    StallDetector stallDetector() {
        return stallDetector;
    }

    AcceptorReconfigurer reconfigurer() {
        return reconfigurer;
    }

    StageController stageController() {
        return stageController;
    }

    OperatorApi operatorApi() {
        return operatorApi;
    }
}
