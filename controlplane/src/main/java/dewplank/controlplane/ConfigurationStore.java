package dewplank.controlplane;

import dewplank.configuration.ChangeRequest;
import dewplank.configuration.ChangeResult;
import dewplank.configuration.Configuration;
import dewplank.configuration.ConfigurationDocument;
import dewplank.net.Scheduler;
import dewplank.register.AcceptorId;
import dewplank.register.AcceptorSet;
import dewplank.register.Decision;
import dewplank.register.DurableState;
import dewplank.register.Outcome;
import dewplank.register.Register;
import dewplank.register.RegisterMessage;
import dewplank.register.RegisterValue;
import dewplank.register.RequestResult;
import dewplank.store.DiskResult;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import java.util.random.RandomGenerator;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Stores the configuration in the replicated register. Supplies {@link Register}, which does no I/O itself, with
 * messages, disk writes and timer ticks.
 *
 * <p>Must be used on the loop's thread only. Each request completes with exactly one {@link Outcome}, at its deadline
 * at the latest, and none throws.
 */
final class ConfigurationStore
        implements Register.Effects<ChangeResult>, OperatorApi.Configurations, SingletonRoles.Voters {
    private static final Logger LOG = LoggerFactory.getLogger(ConfigurationStore.class);
    private static final double TICK_INTERVAL_MS = 25;
    /**
     * Timeout of a round of the register's protocol. A round consists of two round trips and two synced writes, which
     * take a few milliseconds on an idle machine.
     */
    private static final double ROUND_TIMEOUT_MS = 250;
    /** Bounds of the random backoff before a round is retried. */
    private static final double RETRY_MIN_MS = 10;

    private static final double RETRY_MAX_MS = 120;
    /** Interval at which control planes compare the newest values that are chosen according to their state. */
    private static final double ANTI_ENTROPY_INTERVAL_MS = 400;

    /** Stores the acceptor's state. */
    interface Disk {
        /**
         * Writes and syncs the state.
         *
         * @param done receives the result of the write, in a later task of the loop
         */
        void save(DurableState state, Consumer<DiskResult> done);
    }

    /** Sends the register's messages and receives the configurations that it chooses. Called on the loop's thread. */
    interface RegisterEnvironment {
        void send(String address, RegisterMessage message);

        /** A newer configuration has been chosen. */
        void onConfigurationChosen(Configuration configuration);
    }

    private final Scheduler loop;
    private final Disk disk;
    private final RegisterEnvironment environment;
    private final Register<ChangeResult> register;
    private final Map<Long, Consumer<Outcome<ChangeResult>>> pendingRequests = new HashMap<>();
    private long nextRequest;
    /** The payload that {@link #decoded} was decoded from; null at first. */
    private byte[] decodedPayload;

    private ConfigurationDocument decoded;

    ConfigurationStore(
            Scheduler loop,
            String address,
            List<AcceptorId> initial,
            DurableState recovered,
            Disk disk,
            RandomGenerator random,
            RegisterEnvironment environment) {
        this.loop = loop;
        this.disk = disk;
        this.environment = environment;
        this.register = new Register<>(
                new Register.Settings(
                        address,
                        AcceptorSet.of(initial),
                        ROUND_TIMEOUT_MS,
                        RETRY_MIN_MS,
                        RETRY_MAX_MS,
                        ANTI_ENTROPY_INTERVAL_MS),
                recovered,
                random);
    }

    void start() {
        if (register.chosenValue() != null) {
            learned(register.chosenValue());
        }
        tick();
    }

    private void tick() {
        register.tick(loop.now(), this);
        loop.after(TICK_INTERVAL_MS, this::tick);
    }

    void handleMessage(RegisterMessage message) {
        register.handleMessage(loop.now(), message, this);
    }

    /** Queries a control plane that has become reachable for its chosen value, which may be newer. */
    void queryPeer(String address) {
        register.queryStatus(loop.now(), address, this);
    }

    // ---- effects of the register -----------------------------------------------------------------------

    @Override
    public void send(String address, RegisterMessage message) {
        environment.send(address, message);
    }

    @Override
    public void store(long storeId, DurableState state) {
        disk.save(state, result -> {
            if (result.isSuccess()) {
                register.handleStored(loop.now(), storeId, this);
            } else {
                register.handleStoreFailed(loop.now(), storeId, this);
            }
        });
    }

    @Override
    public void learned(RegisterValue value) {
        Configuration configuration = document(value.payload()).configuration();
        if (configuration != null) {
            environment.onConfigurationChosen(configuration);
        }
    }

    @Override
    public void completed(long request, Outcome<ChangeResult> outcome) {
        Consumer<Outcome<ChangeResult>> callback = pendingRequests.remove(request);
        if (callback != null) {
            callback.accept(outcome);
        }
    }

    // ---- requests -------------------------------------------------------------------------------------

    @Override
    public void change(ChangeRequest change, double timeoutMs, Consumer<Outcome<ChangeResult>> callback) {
        register.change(
                loop.now(),
                addPendingRequest(callback),
                payload -> decide(change, document(payload)),
                loop.now() + timeoutMs,
                this);
    }

    private Decision<ChangeResult> decide(ChangeRequest change, ConfigurationDocument current) {
        ChangeResult result = current.apply(change);
        if (!(result instanceof ChangeResult.Accepted accepted)) {
            return new Decision<>(null, result);
        }
        byte[] payload = accepted.next().encode();
        decodedPayload = payload;
        decoded = accepted.next();
        return new Decision<>(payload, result);
    }

    /** Decodes a payload, unless it is the one that was decoded or proposed last: that takes long for many routes. */
    @Override
    public ConfigurationDocument document(byte[] payload) {
        if (payload == null || !Arrays.equals(payload, decodedPayload)) {
            decoded = ConfigurationDocument.decode(payload);
            decodedPayload = payload;
        }
        return decoded;
    }

    @Override
    public void read(double timeoutMs, Consumer<Outcome<ChangeResult>> callback) {
        register.read(loop.now(), addPendingRequest(callback), loop.now() + timeoutMs, this);
    }

    /**
     * Changes the set of acceptors.
     *
     * @param expectedGeneration the generation of the set from which the change was computed; the set is not changed if
     *     another generation is in force
     * @param callback runs when the request has completed, with any outcome
     */
    void replaceAcceptors(long expectedGeneration, List<AcceptorId> target, double timeoutMs, Runnable callback) {
        register.reconfigure(
                loop.now(),
                addPendingRequest(outcome -> {
                    callback.run();
                    logAcceptorChange(outcome);
                }),
                expectedGeneration,
                target,
                loop.now() + timeoutMs,
                this);
    }

    private static void logAcceptorChange(Outcome<ChangeResult> outcome) {
        if (outcome instanceof Outcome.Confirmed<ChangeResult> confirmed
                && confirmed.result() instanceof RequestResult.OfReconfiguration<ChangeResult> requestResult) {
            LOG.info(
                    "acceptor change completed acceptors={} result={}",
                    confirmed.value().acceptors().members(),
                    requestResult.result());
        }
    }

    private long addPendingRequest(Consumer<Outcome<ChangeResult>> callback) {
        long request = ++nextRequest;
        pendingRequests.put(request, callback);
        return request;
    }

    @Override
    public AcceptorSet acceptors() {
        return register.acceptors();
    }

    @Override
    public long acceptedGeneration() {
        return register.acceptedGeneration();
    }

    @Override
    public Set<AcceptorId> endedAcceptors() {
        return register.endedAcceptors();
    }

    /** Replaces the initial acceptors, which are in force until a value is known to be chosen. */
    void updateInitialAcceptors(AcceptorSet initialAcceptors) {
        register.updateInitialAcceptors(initialAcceptors);
    }

    /** Whether a value is known to be chosen. */
    boolean hasChosenValue() {
        return register.chosenValue() != null;
    }

    /**
     * Whether no value is known to be chosen and the processes of the initial acceptors, all without a disk, have
     * terminated.
     */
    boolean areInitialAcceptorsEnded() {
        return register.areInitialAcceptorsEnded();
    }

    /** Age of the last request to which a quorum replied, in milliseconds; -1 if there is none in this incarnation. */
    long quorumAgeMs() {
        double at = register.lastQuorumAtMs();
        return at == Double.NEGATIVE_INFINITY ? -1 : Math.round(loop.now() - at);
    }

    /** Whether a quorum has confirmed within the last {@code withinMs} that the value stored here is the newest. */
    boolean isCurrent(double withinMs) {
        return register.isCurrent(loop.now(), withinMs);
    }

    /** The latest time at which the value stored here is known to have been the newest; negative infinity if none. */
    double lastCurrentAtMs() {
        return register.lastCurrentAtMs();
    }

    /** Whether a quorum has replied within the last {@code withinMs}. */
    boolean hasQuorum(double withinMs) {
        return register.lastQuorumAtMs() >= loop.now() - withinMs;
    }
}
