package dewplank.emulator.virtualtime;

import dewplank.balancer.Balancer;
import dewplank.balancer.Endpoint;
import dewplank.balancer.Settings;
import dewplank.emulator.ClientAttempt;
import dewplank.emulator.Clients;
import dewplank.emulator.EmulatedEnvironment;
import dewplank.emulator.FaultInjector;
import dewplank.emulator.RandomStreams;
import dewplank.emulator.RecordedEvent;
import dewplank.emulator.VirtualTime;
import dewplank.emulator.scenario.BalancerSettings;
import dewplank.emulator.scenario.Scenario;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.stream.IntStream;

/**
 * A simulation run in virtual time. One thread runs the scheduler. In each tick, the sidecars that have events pass
 * them to their balancers, sequentially or in parallel; each balancer uses only its own state. The resulting actions
 * take effect in the order of the sidecars. The result depends on scenario, seed and policy only, not on the number
 * of cores.
 */
public final class VirtualRun implements Clients.SidecarConnector {
    private static final int MIN_PARALLEL_SIDECARS = 8;

    /**
     * Creates the balancer under test. Only a policy that may use the actual state of servers may use
     * {@code environment}.
     */
    public interface Policy {
        Balancer create(Settings settings, long seed, EmulatedEnvironment environment, int sidecar);
    }

    /** How the balancers are run within a tick; it doesn't affect the result. */
    public enum Execution {
        /** Sequentially, for callers that execute many runs concurrently. */
        SEQUENTIAL,
        /** On all cores, if enough sidecars have events in the tick. */
        PARALLEL
    }

    /** Creates a sidecar; tests create deliberately faulty ones. */
    public interface SidecarFactory {
        EmulatedSidecar create(VirtualRun run, int number);
    }

    /**
     * Counts of a run's operations, in addition to its recorded events and request outcomes.
     *
     * @param events tasks that were run in virtual time
     * @param sends attempts sent to servers
     * @param handshakes connection attempts to servers
     * @param directoryCalls calls to the directory
     * @param directoryLines lines that the directory sent
     * @param connectionsAtEnd connections of sidecars that were open at the end of the run
     */
    public record Cost(
            long events,
            long sends,
            long healthChecks,
            long handshakes,
            long directoryCalls,
            long directoryLines,
            int connectionsAtEnd) {}

    private final Scenario scenario;
    private final long seed;
    private final Policy policy;
    private final Execution execution;
    private final VirtualTime time = new VirtualTime();
    private final EmulatedEnvironment environment;
    private final Clients clients;
    private final List<EmulatedSidecar> sidecars = new ArrayList<>();
    private List<EmulatedSidecar> scheduled = new ArrayList<>();
    private boolean isTickScheduled;

    /** Creates a run with standard sidecars; a shorthand for {@link #builder}. */
    public VirtualRun(
            Scenario scenario,
            long seed,
            Policy policy,
            RecordedEvent.Recorder recorder,
            Clients.OutcomeListener outcomeListener,
            Execution execution) {
        this(builder(scenario, seed, policy)
                .recorder(recorder)
                .outcomeListener(outcomeListener)
                .execution(execution));
    }

    private VirtualRun(Builder builder) {
        this.scenario = builder.scenario;
        this.seed = builder.seed;
        this.policy = builder.policy;
        this.execution = builder.execution;
        this.environment = new EmulatedEnvironment(scenario, seed, time, builder.recorder);
        this.clients = new Clients(environment, this, builder.outcomeListener);
        for (int i = 0; i < scenario.sidecars(); i++) {
            sidecars.add(builder.sidecarFactory.create(this, i));
        }
    }

    /**
     * Returns a builder for a run.
     *
     * @param seed seed of all random numbers; the same scenario, seed and policy produce the same run
     */
    public static Builder builder(Scenario scenario, long seed, Policy policy) {
        return new Builder(scenario, seed, policy);
    }

    /**
     * Builds a run; by default, nothing is recorded, execution is sequential, and the sidecars are standard ones. Not
     * thread-safe.
     */
    public static final class Builder {
        private final Scenario scenario;
        private final long seed;
        private final Policy policy;
        private RecordedEvent.Recorder recorder = event -> {};
        private Clients.OutcomeListener outcomeListener =
                (requestClass, tenant, firstSentAtMs, tookMs, attempts, lastType) -> {};
        private Execution execution = Execution.SEQUENTIAL;
        private SidecarFactory sidecarFactory = EmulatedSidecar::new;

        private Builder(Scenario scenario, long seed, Policy policy) {
            this.scenario = scenario;
            this.seed = seed;
            this.policy = policy;
        }

        /** Sets the recorder, which receives each event when it occurs, on the scheduler thread. */
        public Builder recorder(RecordedEvent.Recorder next) {
            recorder = next;
            return this;
        }

        /** Sets the listener, which receives the outcome of each request, on the scheduler thread. */
        public Builder outcomeListener(Clients.OutcomeListener next) {
            outcomeListener = next;
            return this;
        }

        /** Sets how the balancers are run within a tick. */
        public Builder execution(Execution next) {
            execution = next;
            return this;
        }

        /** Sets the factory that creates the sidecars, in order of their numbers. */
        public Builder sidecars(SidecarFactory next) {
            sidecarFactory = next;
            return this;
        }

        /** Creates the run with its environment, clients and sidecars, without starting it. */
        public VirtualRun build() {
            return new VirtualRun(this);
        }
    }

    /** Runs the scenario, then continues until all client requests have completed; must be called only once. */
    public Cost run() {
        List<Endpoint> endpoints = environment.directory().endpoints();
        long version = environment.directory().version();
        sidecars.forEach(sidecar -> sidecar.start(endpoints, version));
        FaultInjector.schedule(
                environment, (number, restartAfterMs) -> sidecars.get(number).kill(restartAfterMs));
        clients.start();
        double end = scenario.lengthMs();
        time.runUntil(end);
        double latestEndMs = end + 2 * scenario.longestDeadlineMs() + 1_000;
        while (clients.openRequests() > 0 && time.now() < latestEndMs) {
            time.runUntil(time.now() + 50);
        }
        time.runUntil(
                time.now() + scenario.longestDeadlineMs()); // requests in progress at servers may still have effects
        return new Cost(
                time.tasksRun(),
                sum(EmulatedSidecar::attemptsSent),
                sum(EmulatedSidecar::healthChecks),
                sum(EmulatedSidecar::handshakes),
                environment.directory().calls(),
                environment.directory().linesSent(),
                sidecars.stream().mapToInt(EmulatedSidecar::openConnections).sum());
    }

    private long sum(java.util.function.ToLongFunction<EmulatedSidecar> figure) {
        return sidecars.stream().mapToLong(figure).sum();
    }

    /** The environment of this run. */
    public EmulatedEnvironment environment() {
        return environment;
    }

    /** The clients of this run. */
    public Clients clients() {
        return clients;
    }

    Balancer newBalancer(int sidecar, int incarnation) {
        return policy.create(
                BalancerSettings.of(scenario, sidecar),
                RandomStreams.mix(seed ^ RandomStreams.mix(sidecar * 1_000L + incarnation)),
                environment,
                sidecar);
    }

    @Override
    public void send(ClientAttempt request) {
        sidecars.get(request.sidecar()).receive(request);
    }

    @Override
    public void abandon(ClientAttempt request) {
        sidecars.get(request.sidecar()).abandon(request);
    }

    /** Sends a summary to every other sidecar; each datagram is delayed or lost. */
    void broadcast(int from, byte[] summary) {
        for (EmulatedSidecar to : sidecars) {
            double delay = to.number == from ? -1 : environment.drawPeerDelayMs();
            if (delay >= 0) {
                environment.schedule(delay, () -> to.receiveSummary(from, summary));
            }
        }
    }

    /** Schedules a sidecar for the next tick. */
    void scheduleTick(EmulatedSidecar sidecar) {
        scheduled.add(sidecar);
        if (!isTickScheduled) {
            isTickScheduled = true;
            double tick = scenario.tickMs();
            environment.schedule((Math.floor(time.now() / tick + 1e-9) + 1) * tick - time.now(), this::tick);
        }
    }

    private void tick() {
        isTickScheduled = false;
        List<EmulatedSidecar> due = scheduled;
        scheduled = new ArrayList<>();
        due.sort(Comparator.comparingInt(sidecar -> sidecar.number));
        double nowMs = time.now();
        if (execution == Execution.PARALLEL && due.size() >= MIN_PARALLEL_SIDECARS) {
            IntStream.range(0, due.size()).parallel().forEach(index -> due.get(index)
                    .decide(nowMs));
        } else {
            due.forEach(sidecar -> sidecar.decide(nowMs));
        }
        due.forEach(EmulatedSidecar::executeActions);
    }
}
