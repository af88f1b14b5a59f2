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
 * The program of the control plane: start, reload of the settings, and graceful shutdown.
 *
 * <p>On a machine without a disk, the control plane only reports the addresses of control planes with a disk to
 * operators and data planes. It acquires no lease, sends no updates to data planes, and is an acceptor only until the
 * initial set, which consists of the seeds, has been moved to machines with a disk. A control plane whose disk can't be
 * used at the start runs in the same way, but is never an acceptor.
 *
 * <p>The public methods may be called from any thread; the work is done on the event loop's thread.
 */
public final class ControlPlane {
    private static final Logger LOG = LoggerFactory.getLogger(ControlPlane.class);

    /** Interval at which the members are checked for changes, which are sent to data planes. */
    private static final double MEMBERS_CHECK_INTERVAL_MS = 250;

    private static final double DRAIN_CHECK_INTERVAL_MS = 20;
    /** Operators' requests that are still in flight after this time get the result {@code ENDING}. */
    private static final double MAX_DRAIN_MS = 1_500;
    /** The limit for each of the two listening addresses. */
    static final int MAX_CONNECTIONS = 1_024;

    private final NodeSettings settings;
    private final ControlEnvironment environment;
    private final Scheduler loop;
    private final ControlComponents components;
    private final ServerEndpoint operatorListener;
    private final ServerEndpoint internalListener;
    private long pushedMembersDigest;

    /**
     * Opens the disk and the sockets of this machine.
     *
     * @param policy the mechanisms that are enabled
     * @param onDiskUsable called on the loop's thread when a disk that could not be opened here has become usable; the
     *     caller then has to drain this control plane and to create a new one
     * @throws IOException if the process can't listen on an address
     * @throws StoreException if the data directory is not a directory that this process can write to
     */
    public ControlPlane(NodeSettings settings, Policy policy, Runnable onDiskUsable)
            throws IOException, StoreException {
        this(settings, FleetMessages.codec(), policy, onDiskUsable);
    }

    private ControlPlane(NodeSettings settings, MessageCodec codec, Policy policy, Runnable onDiskUsable)
            throws IOException, StoreException {
        this(settings, SystemEnvironment.of(settings, codec), codec, policy, onDiskUsable);
    }

    ControlPlane(
            NodeSettings settings,
            ControlEnvironment environment,
            MessageCodec codec,
            Policy policy,
            Runnable onDiskUsable)
            throws IOException {
        this.settings = settings;
        this.environment = environment;
        loop = environment.scheduler();
        components = new ControlComponents(settings, environment, codec, policy, onDiskUsable);
        try {
            operatorListener = environment.operators(components.operatorApi());
            internalListener = environment
                    .transport()
                    .listen(SocketAddresses.parse(components.address()), MAX_CONNECTIONS, components::inboundLink);
        } catch (IOException e) {
            environment.stop();
            components.storage().closeFiles();
            components.diskRecovery().close();
            throw e;
        }
    }

    /** Starts to listen, to connect to the others, and to take part in the fleet. Returns immediately. */
    public void start() {
        loop.execute(this::startOnLoop);
    }

    private void startOnLoop() {
        internalListener.accept();
        operatorListener.accept();
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

    /** Applies a changed settings file: connects to new seeds. All other settings take effect at the next start. */
    public void reload(NodeSettings next) {
        loop.execute(() -> components.updateSeeds(next));
    }

    /**
     * Shuts down gracefully, on SIGTERM: releases the lease, completes the requests in flight, closes links and disk.
     * Blocks until that is done, for 3 s at most.
     */
    public void drain() throws InterruptedException {
        CountDownLatch drained = new CountDownLatch(1);
        drain(drained::countDown);
        drained.await((long) (2 * MAX_DRAIN_MS), TimeUnit.MILLISECONDS);
        environment.stop();
        components.storage().close();
        components.diskRecovery().close();
    }

    /** Shuts down gracefully without blocking, and without closing links and disk. */
    void drain(Runnable callback) {
        loop.execute(() -> {
            LOG.info("draining");
            components.roles().releaseAll();
            operatorListener.close();
            completeDrainWhenIdle(loop.now() + MAX_DRAIN_MS, callback);
        });
    }

    private void completeDrainWhenIdle(double deadline, Runnable callback) {
        OperatorApi operatorApi = components.operatorApi();
        if (operatorApi.close() || loop.now() >= deadline) {
            operatorApi.abortRequestsInFlight();
            loop.after(DRAIN_CHECK_INTERVAL_MS, callback);
        } else {
            loop.after(DRAIN_CHECK_INTERVAL_MS, () -> completeDrainWhenIdle(deadline, callback));
        }
    }

    /** The components, for inspection by simulations. */
    ControlComponents components() {
        return components;
    }
}
