package dewplank.controlplane;

import dewplank.membership.SessionTable;
import dewplank.message.FleetMessages;
import dewplank.message.MessageCodec;
import dewplank.net.Scheduler;
import dewplank.net.ServerEndpoint;
import dewplank.register.AcceptorId;
import dewplank.routing.Policy;
import dewplank.settings.NodeSettings;
import dewplank.store.StoreException;
import java.io.IOException;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.stream.Collectors;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The control plane's program: its start, the reload of its settings, and its graceful shutdown.
 *
 * <p>On a machine without a disk it is a relay: it names the control planes with a disk to operators and data planes,
 * holds no lease and no session, and is an acceptor only until the first set, which the seeds name, has moved to
 * machines with a disk. So is it where the disk can't be used at the start, though no acceptor then.
 *
 * <p>The public methods may be called from any thread; the work is done on the event loop's.
 */
public final class ControlPlane {
    private static final Logger LOG = LoggerFactory.getLogger(ControlPlane.class);

    /** How often data planes are sent the members, where these have changed. */
    private static final double MEMBERS_CHECK_INTERVAL_MS = 250;

    private static final double DRAIN_CHECK_INTERVAL_MS = 20;
    /** Operators' calls that are not answered by then are answered with {@code ENDING}. */
    private static final double MAX_DRAIN_MS = 1_500;
    /** On each of the two listening addresses. */
    static final int MAX_CONNECTIONS = 1_024;

    private final NodeSettings settings;
    private final ControlEnvironment environment;
    private final Scheduler loop;
    private final ControlComponents components;
    private final ServerEndpoint control;
    private final ServerEndpoint internal;
    private long pushedMembersDigest;

    /**
     * Opens the disk and the sockets of this machine.
     *
     * @param policy the mechanisms that are enabled
     * @param diskUsable told on the loop's thread, where the disk failed now, when it can be used: the control plane is
     *     then to be drained and another one to be created
     * @throws IOException where an address can't be listened on
     * @throws StoreException where the data directory is none that this process may use
     */
    public ControlPlane(NodeSettings settings, Policy policy, Runnable diskUsable) throws IOException, StoreException {
        this(settings, FleetMessages.codec(), policy, diskUsable);
    }

    private ControlPlane(NodeSettings settings, MessageCodec codec, Policy policy, Runnable diskUsable)
            throws IOException, StoreException {
        this(settings, SystemEnvironment.of(settings, codec), codec, policy, diskUsable);
    }

    ControlPlane(
            NodeSettings settings,
            ControlEnvironment environment,
            MessageCodec codec,
            Policy policy,
            Runnable diskUsable)
            throws IOException {
        this.settings = settings;
        this.environment = environment;
        loop = environment.scheduler();
        components = new ControlComponents(settings, environment, codec, policy, diskUsable);
        control = environment.operators(components.operatorApi());
        internal = environment
                .transport()
                .listen(SocketAddresses.socketAddress(components.address()), MAX_CONNECTIONS, components::inboundLink);
    }

    /** Begins to listen, to connect to the others, and to take part in the fleet. Returns at once. */
    public void start() {
        loop.execute(this::startOnLoop);
    }

    private void startOnLoop() {
        internal.accept();
        control.accept();
        components.updateSeeds(settings);
        components.storage().savedList().ifPresent(components.poller()::receive);
        boolean durable = components.isDurable();
        if (durable) {
            components.configuration().start();
            components.founderTracker().start();
        }
        components
                .mesh()
                .addAddresses(addresses(components.configuration().acceptors().all()));
        components.mesh().start();
        if (durable) {
            components.roles().start();
            components.poller().start();
            components.reconfigurer().start();
            components.stageController().start();
        }
        components.diskFailure().ifPresent(components.diskRecovery()::start);
        components.stallDetector().start();
        pushMembers();
        LOG.info(
                "control plane started node={} address={} acceptor={} durable={}",
                components.node(),
                components.address(),
                components.storage().identity(),
                durable);
    }

    private static Set<String> addresses(List<AcceptorId> acceptors) {
        return acceptors.stream().map(AcceptorId::address).collect(Collectors.toCollection(LinkedHashSet::new));
    }

    private void pushMembers() {
        components.stallDetector().check();
        long digest = SessionTable.digest(components.sessionTable().members(loop.now()));
        if (digest != pushedMembersDigest) {
            pushedMembersDigest = digest;
            components.sessions().pushUpdates();
        }
        if (components.isDurable()) {
            components.quorumLog().check();
        }
        loop.after(MEMBERS_CHECK_INTERVAL_MS, this::pushMembers);
    }

    /** The settings file has changed: connects to new seeds; all else takes effect at the next start. */
    public void reload(NodeSettings next) {
        loop.execute(() -> components.updateSeeds(next));
    }

    /**
     * Shuts down gracefully, on SIGTERM: releases the lease, answers the calls in flight, closes links and disk. Blocks
     * until that is done, 3 s at the most.
     */
    public void drain() throws InterruptedException {
        CountDownLatch drained = new CountDownLatch(1);
        drain(drained::countDown);
        drained.await((long) (2 * MAX_DRAIN_MS), TimeUnit.MILLISECONDS);
        environment.stop();
        components.storage().close();
        components.diskRecovery().close();
    }

    /** The same without blocking, and without closing links and disk. */
    void drain(Runnable then) {
        loop.execute(() -> {
            LOG.info("draining");
            components.roles().releaseAll();
            control.close();
            endWhenIdle(loop.now() + MAX_DRAIN_MS, then);
        });
    }

    private void endWhenIdle(double deadline, Runnable then) {
        OperatorApi operatorApi = components.operatorApi();
        if (operatorApi.close() || loop.now() >= deadline) {
            operatorApi.endAll();
            loop.after(DRAIN_CHECK_INTERVAL_MS, then);
        } else {
            loop.after(DRAIN_CHECK_INTERVAL_MS, () -> endWhenIdle(deadline, then));
        }
    }

    /** The parts, for a simulation to look into. */
    ControlComponents components() {
        return components;
    }
}
