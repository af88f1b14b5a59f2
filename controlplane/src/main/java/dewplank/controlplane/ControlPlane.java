package dewplank.controlplane;

import dewplank.configuration.Configuration;
import dewplank.membership.Member;
import dewplank.membership.SessionTable;
import dewplank.message.ControlHeartbeat;
import dewplank.message.ControlHello;
import dewplank.message.EndpointList;
import dewplank.message.EndpointListVersion;
import dewplank.message.FleetMessages;
import dewplank.message.HeartbeatAck;
import dewplank.message.MessageCodec;
import dewplank.message.MessageLink;
import dewplank.message.SessionHeartbeat;
import dewplank.message.SessionOpen;
import dewplank.net.Scheduler;
import dewplank.net.ServerEndpoint;
import dewplank.register.AcceptorId;
import dewplank.register.RegisterMessage;
import dewplank.routing.Policy;
import dewplank.settings.NodeSettings;
import dewplank.singleton.LeaseTiming;
import dewplank.singleton.VoteReply;
import dewplank.singleton.VoteRequest;
import dewplank.store.StoreException;
import java.io.IOException;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.random.RandomGenerator;
import java.util.stream.Collectors;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The control plane's program: wires the register, sessions, duties, the list of servers and the operator's interface.
 *
 * <p>On a machine without a disk it is a relay: it tells operators and data planes where those with a disk are, stands
 * for no duty, holds no sessions, and is an acceptor only until the first set, which the seeds name, has moved to
 * machines with a disk.
 */
public final class ControlPlane {
    private static final Logger LOG = LoggerFactory.getLogger(ControlPlane.class);
    private static final double SESSION_LEASE_MS = 2_000;
    private static final double MEMBERS_CHECK_INTERVAL_MS = 250;
    private static final double DRAIN_CHECK_INTERVAL_MS = 20;
    private static final double MAX_DRAIN_MS = 1_500;
    static final int MAX_CONNECTIONS = 1_024;

    private final NodeSettings settings;
    private final ControlEnvironment environment;
    private final Scheduler loop;
    private final String address;
    private final Storage storage;
    private final boolean durable;
    private final QuorumConfirmation confirmation;
    private final ControlMesh mesh;
    private final ConfigurationStore configuration;
    private final ConfigurationHistory history = new ConfigurationHistory();
    private final SessionTable table = new SessionTable(SESSION_LEASE_MS);
    private final DataPlaneSessions sessions;
    private final StallDetector stallDetector;
    private final SingletonRoles duties;
    private final EndpointPoller poller;
    private final AcceptorReconfigurer reconfigurer;
    private final StageController stageController;
    private final OperatorApi operator;
    private final ServerEndpoint control;
    private final ServerEndpoint internal;
    private long pushedMembersDigest;
    private Set<String> seeds = Set.of();

    /** With the machine's clock, sockets and disk. */
    public ControlPlane(NodeSettings settings) throws IOException, StoreException {
        this(settings, Policy.ALL_ENABLED);
    }

    /** For a trial, with some mechanisms off. */
    public ControlPlane(NodeSettings settings, Policy policy) throws IOException, StoreException {
        this(settings, FleetMessages.codec(), policy);
    }

    private ControlPlane(NodeSettings settings, MessageCodec codec, Policy policy) throws IOException, StoreException {
        this(settings, new SystemEnvironment(settings, codec), codec, policy);
    }

    ControlPlane(NodeSettings settings, ControlEnvironment environment, MessageCodec codec, Policy policy)
            throws IOException, StoreException {
        this.settings = settings;
        this.environment = environment;
        loop = environment.scheduler();
        address = settings.address() + ":" + settings.internalPorts()[0];
        RandomGenerator random = environment.random();
        durable = settings.dataDirectory() != null;
        storage = Bootstrap.storage(settings, environment, codec, address);
        Member self =
                new Member(settings.nodeName(), Member.CONTROL, address, settings.zone(), environment.wallClockMs());
        mesh = new ControlMesh(
                loop, environment.transport(), new ControlHello(self, storage.identity(), durable), new MeshHandler());
        configuration = new ConfigurationStore(
                loop,
                address,
                Bootstrap.initialAcceptors(storage, address),
                storage.recovered(),
                storage,
                random,
                new RegisterCallbacks());
        confirmation = new QuorumConfirmation(loop, storage.identity(), durable, mesh, configuration, history);
        NodeSettings.Bounds bounds = settings.bounds();
        duties = duties(bounds, random);
        poller = new EndpointPoller(
                loop, environment.platform(), duties.endpointList(), bounds.drainMs(), this::listChanged);
        sessions = new DataPlaneSessions(
                loop, table, new FleetUpdateSource(loop, durable, configuration, history, poller, table, mesh));
        stallDetector = new StallDetector(loop, this::stalled);
        reconfigurer = reconfigurer();
        stageController = new StageController(
                loop,
                settings.nodeName(),
                settings.bounds().leaseMs(),
                poller,
                duties.endpointList(),
                environment.modelServers(),
                policy);
        operator = new OperatorApi(
                configuration,
                new QuorumRedirects(settings.control().getPort(), address, mesh, confirmation::canConfirm),
                new OperatorViews(this));
        control = environment.operators(operator);
        internal =
                environment.transport().listen(SocketAddresses.socketAddress(address), MAX_CONNECTIONS, Inbound::new);
    }

    private AcceptorReconfigurer reconfigurer() {
        return new AcceptorReconfigurer(
                loop,
                new AcceptorId(address, storage.identity()),
                settings.bounds().catchUpMs(),
                mesh,
                configuration,
                duties.endpointList());
    }

    private SingletonRoles duties(NodeSettings.Bounds bounds, RandomGenerator random) {
        return new SingletonRoles(
                loop,
                new AcceptorId(address, storage.identity()),
                LeaseTiming.leaseMs(bounds.catchUpMs(), bounds.contactMs(), bounds.drainMs()),
                storage,
                random,
                configuration,
                mesh::send);
    }

    public void start() {
        loop.execute(() -> {
            internal.accept();
            control.accept();
            seeds = new LinkedHashSet<>(Bootstrap.seeds(settings));
            mesh.addAddresses(seeds);
            storage.savedList().ifPresent(poller::receive);
            if (durable) {
                configuration.start();
            }
            mesh.addAddresses(addresses(configuration.acceptors().all()));
            mesh.start();
            if (durable) {
                duties.start();
                poller.start();
                reconfigurer.start();
                stageController.start();
            }
            stallDetector.start();
            pushMembers();
            LOG.info(
                    "control plane started node={} address={} acceptor={} durable={}",
                    settings.nodeName(),
                    address,
                    storage.identity(),
                    durable);
        });
    }

    private void stalled(double stalledMs) {
        LOG.info("event loop stalled stalledMs={}", Math.round(stalledMs));
        mesh.stalled(stalledMs);
        sessions.stalled(stalledMs);
    }

    private void pushMembers() {
        stallDetector.check();
        long digest = SessionTable.digest(table.members(loop.now()));
        if (digest != pushedMembersDigest) {
            pushedMembersDigest = digest;
            sessions.pushUpdates();
        }
        loop.after(MEMBERS_CHECK_INTERVAL_MS, this::pushMembers);
    }

    private void listChanged(EndpointList list) {
        mesh.broadcast(list);
        sessions.pushUpdates();
        storage.saveList(list);
    }

    /** The settings file has changed: new seeds are learned, all else waits for the next start. */
    public void reload(NodeSettings next) {
        loop.execute(() -> {
            seeds = new LinkedHashSet<>(Bootstrap.seeds(next));
            mesh.addAddresses(seeds);
        });
    }

    private static Set<String> addresses(List<AcceptorId> acceptors) {
        return acceptors.stream().map(AcceptorId::address).collect(Collectors.toCollection(LinkedHashSet::new));
    }

    /** Called on SIGTERM: duties are handed over, calls under way answered. */
    public void drain() throws InterruptedException {
        CountDownLatch ended = new CountDownLatch(1);
        drain(ended::countDown);
        ended.await((long) (2 * MAX_DRAIN_MS), TimeUnit.MILLISECONDS);
        environment.stop();
        storage.close();
    }

    /** The same without waiting for it. */
    void drain(Runnable then) {
        loop.execute(() -> {
            LOG.info("draining");
            duties.releaseAll();
            control.close();
            endWhenIdle(loop.now() + MAX_DRAIN_MS, then);
        });
    }

    private void endWhenIdle(double until, Runnable then) {
        if (operator.close() || loop.now() >= until) {
            operator.endAll();
            loop.after(DRAIN_CHECK_INTERVAL_MS, then);
        } else {
            loop.after(DRAIN_CHECK_INTERVAL_MS, () -> endWhenIdle(until, then));
        }
    }

    // ---- views for the operator -----------------------------------------------------------------------

    SessionTable table() {
        return table;
    }

    EndpointPoller poller() {
        return poller;
    }

    SingletonRoles duties() {
        return duties;
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

    double now() {
        return loop.now();
    }

    String node() {
        return settings.nodeName();
    }

    /** The identity of this process's disk. */
    String identity() {
        return storage.identity();
    }

    // ---- wiring ---------------------------------------------------------------------------------------

    private final class MeshHandler implements ControlMesh.Handler {
        @Override
        public ControlHeartbeat heartbeat(long sequence) {
            stallDetector.check();
            return new ControlHeartbeat(sequence, table.localSessions(loop.now()), mesh.liveAddresses());
        }

        @Override
        public void received(String from, Object message) {
            take(from, message);
        }

        @Override
        public void linkUp(String to) {
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

    private void take(String from, Object message) {
        if (message instanceof RegisterMessage m) {
            configuration.received(m);
        } else if (message instanceof ControlHeartbeat told) {
            table.onSessionsReported(loop.now(), from, told.sessions);
            mesh.addAddresses(told.controlAddresses);
        } else if (message instanceof EndpointList list) {
            if (poller.receive(list)) {
                storage.saveList(list);
                sessions.pushUpdates();
            }
        } else if (message instanceof VoteRequest request) {
            duties.voteRequested(from, request);
        } else if (message instanceof VoteReply reply) {
            duties.voteReplied(reply);
        }
    }

    private final class RegisterCallbacks implements ConfigurationStore.RegisterEnvironment {
        @Override
        public void send(String to, RegisterMessage message) {
            mesh.send(to, message);
        }

        @Override
        public void chosen(Configuration newer) {
            if (history.add(newer)) {
                stallDetector.check();
                LOG.info("configuration chosen version={}", newer.version());
                sessions.pushUpdates();
            }
        }
    }

    /** A connection that another process has opened: the first message says which kind it is. */
    private final class Inbound implements MessageLink.Handler {
        private ControlHello peer;
        private DataPlaneSessions.Session session;

        @Override
        public void received(MessageLink connection, Object message) {
            if (peer != null) {
                mesh.recordReceived(peer);
                if (message instanceof ControlHeartbeat told) {
                    connection.send(new HeartbeatAck(told.sequence, confirmation.canConfirm(), toldTo(peer)));
                }
                take(peer.member.address, message);
            } else if (message instanceof ControlHello hello) {
                peer = hello;
                mesh.helloReceived(hello);
            } else if (message instanceof SessionOpen opening && session == null) {
                session = sessions.open(connection, opening).orElse(null);
            } else if (message instanceof SessionHeartbeat heartbeat && session != null) {
                session.heartbeat(heartbeat);
            } else {
                connection.close();
            }
        }

        /** Control planes with a disk hear of each other by what they tell; relays are answered, and answer. */
        private List<String> toldTo(ControlHello other) {
            return durable && other.durable ? List.of() : mesh.liveAddresses();
        }

        @Override
        public void closed(MessageLink connection) {
            if (session != null) {
                session.closed();
            }
        }
    }
}
