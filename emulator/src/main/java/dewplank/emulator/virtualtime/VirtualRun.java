package dewplank.emulator.virtualtime;

import dewplank.balancer.Balancer;
import dewplank.balancer.Endpoint;
import dewplank.balancer.Settings;
import dewplank.emulator.ClientAttempt;
import dewplank.emulator.Clients;
import dewplank.emulator.FaultInjector;
import dewplank.emulator.RandomStreams;
import dewplank.emulator.RecordedEvent;
import dewplank.emulator.VirtualTime;
import dewplank.emulator.World;
import dewplank.emulator.scenario.BalancerSettings;
import dewplank.emulator.scenario.Scenario;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.stream.IntStream;

/**
 * One run in virtual time. One thread moves the world. In each tick the balancers of the sidecars that have events
 * decide, in parallel where the run was created so, each on its own state; their actions then take effect in the
 * sidecars' order. The result depends on scenario, seed and policy alone, not on the number of cores.
 */
public final class VirtualRun implements Clients.SidecarConnector {
    private static final int MIN_PARALLEL_SIDECARS = 8;

    /**
     * Creates the balancer under test. {@code world} is for a policy that knows the true state; no other may use it.
     */
    public interface Policy {
        Balancer create(Settings settings, long seed, World world, int sidecar);
    }

    /** How the sidecars of one tick decide; the result is the same. */
    public enum Execution {
        /** One after the other, for callers that play many runs at once. */
        SEQUENTIAL,
        /** On all cores, where enough sidecars decide in the tick. */
        PARALLEL
    }

    /** Creates a sidecar; tests create ones that are broken on purpose. */
    public interface SidecarFactory {
        EmulatedSidecar create(VirtualRun run, int number);
    }

    /**
     * What a run cost, beside its recorded events and the outcomes of its requests.
     *
     * @param events tasks that virtual time ran
     * @param sends attempts sent to servers
     * @param handshakes connections begun to servers
     * @param directoryCalls calls to the directory
     * @param directoryLines lines that the directory sent
     * @param connectionsAtEnd connections that sidecars still had open
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
    private final World world;
    private final Clients clients;
    private final List<EmulatedSidecar> sidecars = new ArrayList<>();
    private List<EmulatedSidecar> scheduled = new ArrayList<>();
    private boolean isTickScheduled;

    /** A run with plain sidecars; short for the {@link #builder}. */
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
        this.world = new World(scenario, seed, time, builder.recorder);
        this.clients = new Clients(world, this, builder.outcomeListener);
        for (int i = 0; i < scenario.sidecars(); i++) {
            sidecars.add(builder.sidecarFactory.create(this, i));
        }
    }

    /**
     * Begins the description of a run.
     *
     * @param seed of all random numbers; the same scenario, seed and policy give the same run
     */
    public static Builder builder(Scenario scenario, long seed, Policy policy) {
        return new Builder(scenario, seed, policy);
    }

    /**
     * Describes a run: by default nothing is recorded, the sidecars decide one after the other, and they are plain
     * ones. Used by one thread.
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

        /** {@code next} gets each event at its time, on the thread that runs the world. */
        public Builder recorder(RecordedEvent.Recorder next) {
            recorder = next;
            return this;
        }

        /** {@code next} gets the end of each request, on the thread that runs the world. */
        public Builder outcomeListener(Clients.OutcomeListener next) {
            outcomeListener = next;
            return this;
        }

        /** How the sidecars of one tick decide. */
        public Builder execution(Execution next) {
            execution = next;
            return this;
        }

        /** {@code next} creates the sidecars, in the order of their numbers. */
        public Builder sidecars(SidecarFactory next) {
            sidecarFactory = next;
            return this;
        }

        /** Creates the world, its clients and its sidecars; nothing runs yet. */
        public VirtualRun build() {
            return new VirtualRun(this);
        }
    }

    /** Plays the scenario, and on until each client's request has ended; called once. */
    public Cost run() {
        List<Endpoint> endpoints = world.directory().endpoints();
        long version = world.directory().version();
        sidecars.forEach(sidecar -> sidecar.start(endpoints, version));
        FaultInjector.schedule(world, (n, back) -> sidecars.get(n).kill(back));
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
                world.directory().calls(),
                world.directory().linesSent(),
                sidecars.stream().mapToInt(EmulatedSidecar::openConnections).sum());
    }

    private long sum(java.util.function.ToLongFunction<EmulatedSidecar> figure) {
        return sidecars.stream().mapToLong(figure).sum();
    }

    /** The world of this run. */
    public World world() {
        return world;
    }

    /** The clients of this run. */
    public Clients clients() {
        return clients;
    }

    Balancer newBalancer(int sidecar, int incarnation) {
        return policy.create(
                BalancerSettings.of(scenario, sidecar),
                RandomStreams.mix(seed ^ RandomStreams.mix(sidecar * 1_000L + incarnation)),
                world,
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

    /** Sends a summary to every other sidecar, delayed or lost. */
    void broadcast(int from, byte[] summary) {
        for (EmulatedSidecar to : sidecars) {
            double delay = to.number == from ? -1 : world.messageDelay();
            if (delay >= 0) {
                world.schedule(delay, () -> to.receiveSummary(from, summary));
            }
        }
    }

    /** Lets a sidecar decide at the next tick. */
    void wake(EmulatedSidecar sidecar) {
        scheduled.add(sidecar);
        if (!isTickScheduled) {
            isTickScheduled = true;
            double tick = scenario.tickMs();
            world.schedule((Math.floor(time.now() / tick + 1e-9) + 1) * tick - time.now(), this::tick);
        }
    }

    private void tick() {
        isTickScheduled = false;
        List<EmulatedSidecar> now = scheduled;
        scheduled = new ArrayList<>();
        now.sort(Comparator.comparingInt(sidecar -> sidecar.number));
        double at = time.now();
        if (execution == Execution.PARALLEL && now.size() >= MIN_PARALLEL_SIDECARS) {
            IntStream.range(0, now.size()).parallel().forEach(index -> now.get(index)
                    .decide(at));
        } else {
            now.forEach(sidecar -> sidecar.decide(at));
        }
        now.forEach(EmulatedSidecar::act);
    }
}
