package dewplank.dataplane;

import dewplank.exchange.InboundConnection;
import dewplank.membership.Member;
import dewplank.message.FleetMessages;
import dewplank.message.TcpTransport;
import dewplank.net.EventLoop;
import dewplank.net.Listener;
import dewplank.quota.QuotaBounds;
import dewplank.routing.HealthVotes;
import dewplank.routing.Policy;
import dewplank.routing.ServerPicker;
import dewplank.settings.NodeSettings;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.security.SecureRandom;
import java.util.List;
import java.util.Random;
import java.util.SplittableRandom;
import java.util.random.RandomGenerator;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The data plane process: receives clients' requests, forwards them according to the configuration from its sessions
 * with control planes, and returns the servers' responses. Connects the components of this package on one event loop.
 * Constructed, started, reloaded and drained by the command line's thread; the methods pass their work to the event
 * loop.
 */
public final class DataPlane {
    private static final Logger LOG = LoggerFactory.getLogger(DataPlane.class);
    private static final double COUNTERS_INTERVAL_MS = 5_000;
    private static final double SWEEP_INTERVAL_MS = 250;
    /** File descriptors reserved for idle connections to servers, sessions, files and the JVM. */
    private static final int RESERVED_DESCRIPTORS = 300;
    /** File descriptors per client: one for its connection, and one for the connection to a server. */
    private static final int DESCRIPTORS_PER_CLIENT = 2;

    private static final int MIN_CLIENT_CONNECTIONS = 64;
    /** Memory of a client's connection and of the connection to its server while no message is in progress. */
    private static final int BYTES_PER_CLIENT = 16 * 1024;
    /** Such connections use at most the heap divided by this. */
    private static final int CONNECTIONS_HEAP_DIVISOR = 3;

    private static final int MAX_READINESS_CONNECTIONS = 64;

    private final EventLoop loop;
    private final FleetMetadata fleet;
    private final Forwarder forwarder;
    private final SessionClient sessions;
    private final HealthGossip healthGossip;
    private final Counters counters = new Counters();
    private final ClientTimeouts clientTimeouts;
    private final Listener frontListener;
    private final ReadinessEndpoint readinessEndpoint;
    private final Listener readinessListener;
    private final GracefulShutdown shutdown;

    /**
     * Binds the listeners; connections are accepted only after {@link #start}.
     *
     * @throws IOException if an address of the settings cannot be bound; nothing stays open then
     */
    public static DataPlane open(NodeSettings settings) throws IOException {
        return open(settings, Policy.ALL_ENABLED);
    }

    /**
     * Creates a data plane for an experiment in which the policy disables some mechanisms.
     *
     * @throws IOException if an address of the settings cannot be bound; nothing stays open then
     */
    public static DataPlane open(NodeSettings settings, Policy policy) throws IOException {
        EventLoop loop = new EventLoop();
        try {
            return new DataPlane(loop, settings, policy);
        } catch (IOException | RuntimeException e) {
            loop.stop();
            throw e;
        }
    }

    private DataPlane(EventLoop loop, NodeSettings settings, Policy policy) throws IOException {
        this.loop = loop;
        fleet = new FleetMetadata(loop);
        long seed = new SecureRandom().nextLong();
        RandomGenerator random = new SplittableRandom(seed);
        HealthVotes votes = new HealthVotes(policy);
        ServerPicker picker = new ServerPicker(settings.zone(), votes, fleet::dataPlaneCount, random, policy);
        NodeSettings.Bounds bounds = settings.bounds();
        clientTimeouts = new ClientTimeouts(bounds.configApplyMs());
        QuotaClient quotas = new QuotaClient(loop, quotaBounds(bounds));
        forwarder =
                new Forwarder(loop, fleet, picker, random, counters, retryLimits(bounds), revocation(bounds), quotas);
        Member self = self(settings);
        sessions = new SessionClient(
                loop,
                new TcpTransport(loop, FleetMessages.codec()),
                self,
                fleet,
                random,
                bounds.contactMs(),
                forwarder::onFleetChanged);
        sessions.connectQuotaClient(quotas);
        sessions.setSeeds(controlAddresses(settings));
        frontListener = new Listener(
                loop,
                settings.front(),
                maxClientConnections(settings),
                forwarder::newConnection,
                () -> forwarder.makeRoom(clientTimeouts.reuseMs(loop.now())));
        readinessEndpoint = new ReadinessEndpoint(loop, this::isReady);
        readinessListener = new Listener(
                loop,
                settings.readiness(),
                MAX_READINESS_CONNECTIONS,
                readinessEndpoint::newConnection,
                readinessEndpoint::makeRoom);
        shutdown = new GracefulShutdown(
                loop, forwarder, frontListener, new DrainSchedule(bounds.graceMs()), this::closePeerConnections);
        // The last one to bind an address: the loop's listeners are closed if that fails.
        healthGossip = new HealthGossip(loop, fleet, votes, self, new Random(seed));
    }

    private static RetryBudgets.Limits retryLimits(NodeSettings.Bounds bounds) {
        return new RetryBudgets.Limits(bounds.retryRatio(), bounds.retryWindowMs(), bounds.retrySlack());
    }

    private static AccessControl.Revocation revocation(NodeSettings.Bounds bounds) {
        return new AccessControl.Revocation(
                bounds.revocation().failsClosed(), bounds.revocation().rejectWithinMs());
    }

    private static QuotaBounds quotaBounds(NodeSettings.Bounds bounds) {
        NodeSettings.Quota quota = bounds.quota();
        return new QuotaBounds(quota.windowMs(), quota.overshoot(), quota.slack());
    }

    /** Data planes receive each other's datagrams on the second internal port. */
    private static Member self(NodeSettings settings) {
        String address = settings.address() + ":" + settings.internalPorts()[1];
        long incarnation = System.currentTimeMillis();
        return new Member(settings.nodeName(), Member.DATA, address, settings.zone(), incarnation);
    }

    /** Control planes accept connections from other processes of the fleet on the first internal port. */
    private static List<String> controlAddresses(NodeSettings settings) {
        return settings.seeds().stream()
                .map(InetSocketAddress::getAddress)
                .map(a -> a.getHostAddress() + ":" + settings.internalPorts()[0])
                .toList();
    }

    private static int maxClientConnections(NodeSettings settings) {
        int descriptors = settings.resources().fileDescriptors() - RESERVED_DESCRIPTORS;
        long maxByHeap = Runtime.getRuntime().maxMemory() / CONNECTIONS_HEAP_DIVISOR / BYTES_PER_CLIENT;
        return (int) Math.max(MIN_CLIENT_CONNECTIONS, Math.min(maxByHeap, descriptors / DESCRIPTORS_PER_CLIENT));
    }

    /** Opens the sessions and accepts connections. */
    public void start() {
        loop.execute(() -> {
            sessions.start();
            healthGossip.start();
            frontListener.accept();
            readinessListener.accept();
            sweep();
            logCounters();
        });
    }

    private boolean isReady() {
        return !shutdown.isStarted() && forwarder.isServing();
    }

    private void logCounters() {
        counters.log();
        if (!fleet.isComplete() && !shutdown.isStarted()) {
            LOG.warn(
                    "not serving yet waitingFor={} openSessions={} knownControlPlanes={}",
                    fleet.missingParts(),
                    sessions.openSessions(),
                    sessions.addressCount());
        }
        loop.after(COUNTERS_INTERVAL_MS, this::logCounters);
    }

    /** Closes clients' connections that time out without a complete request, and idle connections to servers. */
    private void sweep() {
        double now = loop.now();
        if (fleet.configuration() != null) {
            clientTimeouts.update(now, fleet.configuration().limits());
        }
        for (InboundConnection connection : forwarder.connections()) {
            if (clientTimeouts.isTimedOut(now, connection)) {
                connection.timeOut();
            }
        }
        readinessEndpoint.sweep();
        fleet.allServers().forEach(s -> s.pool.closeExpired());
        loop.after(SWEEP_INTERVAL_MS, this::sweep);
    }

    /** Applies the seeds of a changed settings file; all other settings take effect at the next start. */
    public void reload(NodeSettings next) {
        loop.execute(() -> sessions.setSeeds(controlAddresses(next)));
    }

    /**
     * Drains and stops the data plane on SIGTERM. Blocks for less than the settings' grace period.
     *
     * @throws InterruptedException if the calling thread is interrupted, which ends the wait for open requests
     */
    public void drain() throws InterruptedException {
        shutdown.run();
        loop.execute(counters::log);
        loop.stop();
    }

    private void closePeerConnections() {
        sessions.close();
        healthGossip.close();
    }
}
