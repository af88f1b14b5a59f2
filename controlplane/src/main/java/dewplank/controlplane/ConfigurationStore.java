package dewplank.controlplane;

import dewplank.configuration.ChangeRequest;
import dewplank.configuration.ChangeResult;
import dewplank.configuration.Configuration;
import dewplank.configuration.ConfigurationDocument;
import dewplank.net.Scheduler;
import dewplank.register.AcceptorId;
import dewplank.register.AcceptorSet;
import dewplank.register.Answer;
import dewplank.register.Decision;
import dewplank.register.DurableState;
import dewplank.register.Outcome;
import dewplank.register.Register;
import dewplank.register.RegisterMessage;
import dewplank.register.RegisterValue;
import dewplank.store.DiskResult;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import java.util.random.RandomGenerator;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The configuration in the replicated register: drives {@link Register}, which is pure, with messages, the disk and
 * time.
 *
 * <p>On the loop's thread only. A request ends with exactly one {@link Outcome}, at its deadline at the latest; none
 * throws.
 */
final class ConfigurationStore
        implements Register.Effects<ChangeResult>, OperatorApi.Configurations, SingletonRoles.Voters {
    private static final Logger LOG = LoggerFactory.getLogger(ConfigurationStore.class);
    private static final double TICK_INTERVAL_MS = 25;
    /** A round takes two round trips and two synced writes: a few milliseconds on an idle machine. */
    private static final double ROUND_TIMEOUT_MS = 250;
    /** Bounds of the random backoff before a round is retried. */
    private static final double RETRY_MIN_MS = 10;

    private static final double RETRY_MAX_MS = 120;
    /** Peers compare what they have chosen this often. */
    private static final double ANTI_ENTROPY_INTERVAL_MS = 400;

    /** Where the acceptor's states are stored. */
    interface Disk {
        /**
         * Saves and syncs.
         *
         * @param done receives whether that succeeded, in a later task of the loop
         */
        void save(DurableState state, Consumer<DiskResult> done);
    }

    /** What the register needs of its environment. On the loop's thread. */
    interface RegisterEnvironment {
        void send(String address, RegisterMessage message);

        /** A newer configuration has been chosen. */
        void chosen(Configuration configuration);
    }

    private final Scheduler loop;
    private final Disk disk;
    private final RegisterEnvironment environment;
    private final Register<ChangeResult> register;
    private final Map<Long, Consumer<Outcome<ChangeResult>>> pendingRequests = new HashMap<>();
    private long nextRequest;

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

    void received(RegisterMessage message) {
        register.handleMessage(loop.now(), message, this);
    }

    /** A control plane has become reachable: queries it for what it has chosen, which may be newer. */
    void queryPeer(String address) {
        register.queryStatus(loop.now(), address, this);
    }

    // ---- effects of the register ------ -----------------------------------------------------------------

    @Override
    public void send(String address, RegisterMessage message) {
        environment.send(address, message);
    }

    @Override
    public void store(long ticket, DurableState state) {
        disk.save(state, result -> {
            if (result.isSuccess()) {
                register.handleStored(loop.now(), ticket, this);
            } else {
                register.handleStoreFailed(loop.now(), ticket, this);
            }
        });
    }

    @Override
    public void learned(RegisterValue value) {
        Configuration configuration =
                ConfigurationDocument.decode(value.payload()).configuration();
        if (configuration != null) {
            environment.chosen(configuration);
        }
    }

    @Override
    public void completed(long request, Outcome<ChangeResult> outcome) {
        Consumer<Outcome<ChangeResult>> then = pendingRequests.remove(request);
        if (then != null) {
            then.accept(outcome);
        }
    }

    // ---- requests -------------------------------------------------------------------------------------

    @Override
    public void change(ChangeRequest change, double withinMs, Consumer<Outcome<ChangeResult>> then) {
        register.change(loop.now(), request(then), payload -> decide(change, payload), loop.now() + withinMs, this);
    }

    private static Decision<ChangeResult> decide(ChangeRequest change, byte[] payload) {
        ChangeResult result = ConfigurationDocument.decode(payload).apply(change);
        return result instanceof ChangeResult.Accepted a
                ? new Decision<>(a.next().encode(), result)
                : new Decision<>(null, result);
    }

    @Override
    public void read(double withinMs, Consumer<Outcome<ChangeResult>> then) {
        register.read(loop.now(), request(then), loop.now() + withinMs, this);
    }

    /**
     * Changes the set of acceptors.
     *
     * @param expectedGeneration of the set that the change was computed from; nothing is changed if another is in force
     * @param then runs when the change has ended, whatever its outcome
     */
    void replaceAcceptors(long expectedGeneration, List<AcceptorId> target, double withinMs, Runnable then) {
        register.reconfigure(
                loop.now(),
                request(outcome -> {
                    then.run();
                    logAcceptorChange(outcome);
                }),
                expectedGeneration,
                target,
                loop.now() + withinMs,
                this);
    }

    private static void logAcceptorChange(Outcome<ChangeResult> outcome) {
        if (outcome instanceof Outcome.Confirmed<ChangeResult> confirmed
                && confirmed.answer() instanceof Answer.OfReconfiguration<ChangeResult> answer) {
            LOG.info(
                    "acceptor change completed acceptors={} result={}",
                    confirmed.value().acceptors().members(),
                    answer.result());
        }
    }

    private long request(Consumer<Outcome<ChangeResult>> then) {
        long request = ++nextRequest;
        pendingRequests.put(request, then);
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

    /** Replaces the acceptors before the first chosen value. */
    void updateInitialAcceptors(AcceptorSet initialAcceptors) {
        register.updateInitialAcceptors(initialAcceptors);
    }

    /** Whether a value is known to be chosen. */
    boolean hasChosenValue() {
        return register.chosenValue() != null;
    }

    /** Whether none is, and the initial acceptors, without a disk, have all ended. */
    boolean areInitialAcceptorsEnded() {
        return register.areInitialAcceptorsEnded();
    }

    /** Milliseconds since the last request that a quorum answered was sent; -1 where none was in this incarnation. */
    long quorumAgeMs() {
        double at = register.lastQuorumAtMs();
        return at == Double.NEGATIVE_INFINITY ? -1 : Math.round(loop.now() - at);
    }

    /** Whether a quorum has confirmed within so many milliseconds that the value here is the newest. */
    boolean isCurrent(double withinMs) {
        return register.isCurrent(loop.now(), withinMs);
    }

    /** A time by when nothing newer than the value here had been chosen; negative infinity where none is known. */
    double lastCurrentAtMs() {
        return register.lastCurrentAtMs();
    }

    /** Whether a quorum has answered within so many milliseconds. */
    boolean hasQuorum(double withinMs) {
        return register.lastQuorumAtMs() >= loop.now() - withinMs;
    }
}
