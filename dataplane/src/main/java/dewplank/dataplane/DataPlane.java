package dewplank.dataplane;

import dewplank.exchange.InboundConnection;
import dewplank.membership.Member;
import dewplank.message.FleetMessages;
import dewplank.message.TcpTransport;
import dewplank.net.EventLoop;
import dewplank.net.Listener;
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
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.random.RandomGenerator;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** The data plane: clients' requests in, servers' answers out; what it knows comes from its sessions. */
public final class DataPlane {
    private static final Logger LOG = LoggerFactory.getLogger(DataPlane.class);
    private static final double COUNTERS_EVERY_MS = 5_000;
    private static final double SWEEP_MS = 250;
    private static final double LOOK_MS = 20;
    /** The platform asks each second and leaves after two misses; then its list of connections has to settle. */
    private static final double ACCEPT_ON_MS = 2_600;
    /** Of the grace: where it is short, what was taken last needs the rest of it to be answered. */
    private static final double ACCEPT_ON_PART = 0.4;

    private static final double KILL_SPARE_MS = 700;
    private static final double KILL_SPARE_PART = 0.2;
    /** Before the end: for the last answers to leave. */
    private static final double LAST_ANSWERS_MS = 100;

    private static final double READ_ON_MS = 400;
    private static final int SPARE_DESCRIPTORS = 300;

    private final NodeSettings settings;
    private final EventLoop loop;
    private final FleetMetadata fleet;
    private final Forwarder forwarder;
    private final SessionClient sessions;
    private final HealthGossip exchange;
    private final Counters counters = new Counters();
    private final ClientTimeouts limits;
    private final Listener front;
    private final ReadinessEndpoint readinessCalls;
    private final Listener readiness;
    private final CountDownLatch drained = new CountDownLatch(1);
    private boolean draining;

    public DataPlane(NodeSettings settings) throws IOException {
        this(settings, Policy.ALL_ENABLED);
    }

    /** For a trial, with some mechanisms off. */
    public DataPlane(NodeSettings settings, Policy policy) throws IOException {
        this.settings = settings;
        loop = new EventLoop();
        fleet = new FleetMetadata(loop);
        long seed = new SecureRandom().nextLong();
        RandomGenerator random = new SplittableRandom(seed);
        HealthVotes votes = new HealthVotes(policy);
        ServerPicker choice = new ServerPicker(settings.zone(), votes, fleet::dataPlanes, random, policy);
        NodeSettings.Bounds bounds = settings.bounds();
        limits = new ClientTimeouts(bounds.configApplyMs());
        forwarder = new Forwarder(
                loop,
                fleet,
                choice,
                random,
                counters,
                new RetryBudgets.Limits(bounds.retryRatio(), bounds.retryWindowMs(), bounds.retrySlack()));
        String address = settings.address() + ":" + settings.internalPorts()[1];
        Member self =
                new Member(settings.nodeName(), Member.DATA, address, settings.zone(), System.currentTimeMillis());
        exchange = new HealthGossip(loop, fleet, votes, self, new Random(seed));
        sessions = new SessionClient(
                loop,
                new TcpTransport(loop, FleetMessages.codec()),
                self,
                fleet,
                random,
                settings.bounds().contactMs(),
                forwarder::onFleetChanged);
        sessions.seeds(controlAddresses(settings));
        int clients = Math.max(64, (settings.resources().fileDescriptors() - SPARE_DESCRIPTORS) / 2);
        front = new Listener(loop, settings.front(), clients, forwarder::newConnection);
        readinessCalls = new ReadinessEndpoint(loop, this::ready);
        readiness = new Listener(loop, settings.readiness(), 64, readinessCalls::connection);
    }

    /** Control sidecars listen for the system's own messages on the first internal port. */
    private static List<String> controlAddresses(NodeSettings settings) {
        return settings.seeds().stream()
                .map(InetSocketAddress::getAddress)
                .map(a -> a.getHostAddress() + ":" + settings.internalPorts()[0])
                .toList();
    }

    public void start() {
        loop.execute(() -> {
            sessions.start();
            exchange.start();
            front.accept();
            readiness.accept();
            sweep();
            log();
        });
    }

    private boolean ready() {
        return !draining && fleet.isComplete();
    }

    private void log() {
        counters.log();
        loop.after(COUNTERS_EVERY_MS, this::log);
    }

    /** Ends connections on which no whole request comes, and idle ones to servers. */
    private void sweep() {
        double now = loop.now();
        if (fleet.configuration() != null) {
            limits.inForce(now, fleet.configuration().limits());
        }
        for (InboundConnection c : forwarder.connections()) {
            if (limits.overdue(now, c)) {
                c.timeOut();
            }
        }
        readinessCalls.sweep();
        fleet.allServers().forEach(s -> s.pool.closeExpired());
        loop.after(SWEEP_MS, this::sweep);
    }

    /** The settings file has changed: new seeds are learned, all else waits for the next start. */
    public void reload(NodeSettings next) {
        loop.execute(() -> sessions.seeds(controlAddresses(next)));
    }

    /** Called on SIGTERM: serves on until the platform sends nobody new, answers what is open, and ends. */
    public void drain() throws InterruptedException {
        double graceMs = settings.bounds().graceMs();
        loop.execute(() -> {
            LOG.info("draining: {} requests open", forwarder.openRequests());
            draining = true;
            loop.after(acceptOnMs(graceMs), this::stopAccepting);
        });
        if (!drained.await((long) (endMs(graceMs) - LAST_ANSWERS_MS), TimeUnit.MILLISECONDS)) {
            loop.execute(() -> {
                LOG.warn("draining did not end in time: {} requests open", forwarder.openRequests());
                forwarder.terminateAll();
            });
            drained.await((long) LAST_ANSWERS_MS, TimeUnit.MILLISECONDS);
        }
        loop.execute(counters::log);
        loop.stop();
    }

    /** How long after SIGTERM connections are taken on. */
    static double acceptOnMs(double graceMs) {
        return Math.min(ACCEPT_ON_MS, ACCEPT_ON_PART * graceMs);
    }

    /** How long after SIGTERM the process ends at the latest. */
    static double endMs(double graceMs) {
        return graceMs - Math.min(KILL_SPARE_MS, KILL_SPARE_PART * graceMs);
    }

    private void stopAccepting() {
        forwarder.close();
        front.close();
        endWhenIdle(loop.now() + READ_ON_MS);
    }

    private void endWhenIdle(double readUntil) {
        boolean unread = loop.now() >= readUntil;
        forwarder.connections().forEach(c -> c.endIfIdle(unread));
        if (forwarder.openConnections() == 0 && forwarder.openRequests() == 0 && !front.hasOpenConnections()) {
            sessions.close();
            exchange.close();
            LOG.info("drained");
            loop.after(LOOK_MS, drained::countDown);
        } else {
            loop.after(LOOK_MS, () -> endWhenIdle(readUntil));
        }
    }
}
