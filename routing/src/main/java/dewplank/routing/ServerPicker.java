package dewplank.routing;

import dewplank.balancer.WeightedDraw;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.IntSupplier;
import java.util.function.Predicate;
import java.util.function.ToDoubleFunction;
import java.util.random.RandomGenerator;

/**
 * Picks a server for each request: the power of two choices (Mitzenmacher, 2001) over weighted draws, among the ready
 * servers that are not ejected; of the two drawn the one with the lesser load. An ejected server gets a trial request
 * now and then, which ends its ejection if it is served.
 *
 * <p>Called by requests for each attempt, and with the outcome of each, on the event loop. No I/O; time is given with
 * each call, in milliseconds of the loop's clock. Draws come from one generator, in the order of the calls.
 */
public final class ServerPicker {
    private static final RoutingParameters.Ejection EJECTION = RoutingParameters.DEFAULTS.ejection();
    private static final RoutingParameters.Draw DRAW = RoutingParameters.DEFAULTS.draw();
    private static final double MS_PER_SECOND = 1_000;

    /**
     * What one pick is made from.
     *
     * @param servers the service's servers, ready or not
     * @param allowed which of them the request may go to at all
     * @param load the load that is compared; its unit is the caller's
     * @param preferred the server that takes the first draw's place where it may be picked; empty for none
     * @param preferredCredit load that the preferred server is excused
     * @param allowsTrial whether the request may be the trial of an ejected server: only one that can be retried
     */
    public record PickArguments(
            List<TrackedServer> servers,
            Predicate<TrackedServer> allowed,
            ToDoubleFunction<TrackedServer> load,
            Optional<TrackedServer> preferred,
            double preferredCredit,
            boolean allowsTrial) {
        /** A pick by this data plane's requests in flight, without a preferred server. */
        public static PickArguments byInFlight(
                List<TrackedServer> servers, Predicate<TrackedServer> allowed, boolean allowsTrial) {
            return new PickArguments(servers, allowed, TrackedServer::inFlight, Optional.empty(), 0, allowsTrial);
        }
    }

    /** The ready servers, and those of them that are not ejected, both in the order of the endpoint list. */
    private record Candidates(List<TrackedServer> ready, List<TrackedServer> notEjected) {
        /** With more than half ejected the fault is likelier elsewhere, and verdicts are not heeded. */
        boolean heedsVerdicts() {
            return 2 * notEjected.size() >= ready.size();
        }

        List<TrackedServer> eligible() {
            return heedsVerdicts() ? notEjected : ready;
        }
    }

    private final String ownZone;
    private final HealthVotes votes;
    private final IntSupplier dataPlanes;
    private final RandomGenerator random;
    private final Policy policy;

    /** A picker of a data plane by itself, with all mechanisms enabled. */
    public ServerPicker(String ownZone, HealthVotes votes, RandomGenerator random) {
        this(ownZone, votes, () -> 1, random, Policy.ALL_ENABLED);
    }

    /**
     * A picker.
     *
     * @param ownZone the zone of this data plane
     * @param votes the fleet's verdicts
     * @param dataPlanes how many data planes send to the same servers, this one among them
     * @param random the source of all draws
     * @param policy the mechanisms that decide
     */
    public ServerPicker(
            String ownZone, HealthVotes votes, IntSupplier dataPlanes, RandomGenerator random, Policy policy) {
        this.policy = policy;
        this.ownZone = ownZone;
        this.votes = votes;
        this.dataPlanes = dataPlanes;
        this.random = random;
    }

    /** The mechanisms that decide. */
    public Policy policy() {
        return policy;
    }

    /** Whether the fleet's vote finds the server unhealthy; the verdict may be older by its validity. */
    public boolean isEjected(double nowMs, TrackedServer server) {
        if (nowMs - server.verdictAtMs() >= EJECTION.verdictValidMs()) {
            updateVerdict(nowMs, server);
        }
        return server.isEjected();
    }

    /**
     * Takes the outcome of one request; the verdict on the server may change by it.
     *
     * @param requestClass the name of the request's route
     * @param healthy whether the server did its part
     */
    public void recordOutcome(double nowMs, TrackedServer server, String requestClass, boolean healthy) {
        server.outcomes().record(nowMs, requestClass, healthy);
        updateVerdict(nowMs, server);
        if (healthy) {
            server.resetBackoff();
        }
    }

    private void updateVerdict(double nowMs, TrackedServer server) {
        boolean wasEjected = server.isEjected();
        server.recordVerdict(nowMs, votes.isEjected(nowMs, server.instanceId(), server.outcomes()));
        if (server.isEjected() && !wasEjected) {
            // the first trial comes at a random time, so that data planes take turns
            server.recordTrial(nowMs - random.nextDouble() * trialIntervalMs());
        }
    }

    private double trialIntervalMs() {
        double secondsBetween =
                policy.isEnabled(Mechanism.FLEET_TRIALS) ? dataPlanes.getAsInt() / EJECTION.trialsPerSecond() : 0;
        return Math.max(EJECTION.minTrialIntervalMs(), MS_PER_SECOND * secondsBetween);
    }

    /** The server for a request; empty if none may be sent to. A due trial goes before any draw. */
    public Optional<TrackedServer> pick(double nowMs, PickArguments arguments) {
        Candidates candidates = candidates(nowMs, arguments.servers());
        if (candidates.heedsVerdicts() && arguments.allowsTrial()) {
            TrackedServer trial = takeDueTrial(nowMs, candidates.ready(), arguments);
            if (trial != null) {
                return Optional.of(trial);
            }
        }
        return pickOfTwo(nowMs, candidates.eligible(), arguments);
    }

    /** The servers among which draws are made now. */
    public List<TrackedServer> eligibleServers(double nowMs, List<TrackedServer> servers) {
        return candidates(nowMs, servers).eligible();
    }

    private Candidates candidates(double nowMs, List<TrackedServer> servers) {
        List<TrackedServer> ready = new ArrayList<>();
        List<TrackedServer> notEjected = new ArrayList<>();
        for (TrackedServer server : servers) {
            if (server.isReady()) {
                ready.add(server);
                if (!isEjected(nowMs, server)) {
                    notEjected.add(server);
                }
            }
        }
        return new Candidates(ready, notEjected);
    }

    private TrackedServer takeDueTrial(double nowMs, List<TrackedServer> ready, PickArguments arguments) {
        for (TrackedServer server : ready) {
            if (server.isEjected()
                    && nowMs - server.lastTrialAtMs() >= trialIntervalMs()
                    && arguments.allowed().test(server)) {
                server.recordTrial(nowMs);
                return server;
            }
        }
        return null;
    }

    private Optional<TrackedServer> pickOfTwo(double nowMs, List<TrackedServer> eligible, PickArguments arguments) {
        List<TrackedServer> available = new ArrayList<>();
        for (TrackedServer server : eligible) {
            if ((!server.isBackingOff(nowMs) || !policy.isEnabled(Mechanism.RESTING))
                    && arguments.allowed().test(server)) {
                available.add(server);
            }
        }
        if (available.isEmpty()) {
            return Optional.empty();
        }
        Optional<TrackedServer> preferred = arguments.preferred().filter(available::contains);
        TrackedServer first = preferred.orElseGet(() -> WeightedDraw.draw(available, null, this::weight, random));
        TrackedServer second = WeightedDraw.draw(available, first, this::weight, random);
        if (second == null || !policy.isEnabled(Mechanism.TWO_CHOICES)) {
            return Optional.of(first);
        }
        double credit = preferred.isPresent() ? arguments.preferredCredit() : 0;
        ToDoubleFunction<TrackedServer> load = arguments.load();
        return Optional.of(load.applyAsDouble(first) - credit <= load.applyAsDouble(second) ? first : second);
    }

    private double weight(TrackedServer server) {
        double health = policy.isEnabled(Mechanism.WEIGHTS) ? server.outcomes().weight() : 1;
        boolean isNear = server.zone().equals(ownZone) || !policy.isEnabled(Mechanism.ZONE);
        return health * (isNear ? 1 : DRAW.crossZoneWeight());
    }
}
