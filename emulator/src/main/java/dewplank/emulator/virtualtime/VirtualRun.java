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

    public VirtualRun(
            Scenario scenario,
            long seed,
            Policy policy,
            RecordedEvent.Recorder recorder,
            Clients.OutcomeListener tally,
            Execution execution) {
        this(scenario, seed, policy, recorder, tally, execution, EmulatedSidecar::new);
    }

    public VirtualRun(
            Scenario scenario,
            long seed,
            Policy policy,
            RecordedEvent.Recorder recorder,
            Clients.OutcomeListener tally,
            Execution execution,
            SidecarFactory sidecarFactory) {
        this.scenario = scenario;
        this.seed = seed;
        this.policy = policy;
        this.execution = execution;
        this.world = new World(scenario, seed, time, recorder);
        this.clients = new Clients(world, this, tally);
        for (int i = 0; i < scenario.sidecars(); i++) {
            sidecars.add(sidecarFactory.create(this, i));
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
