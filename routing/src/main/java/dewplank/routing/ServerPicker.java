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
 * Picks a server for each request by the power of two choices (Mitzenmacher, 2001): it makes two weighted random draws
 * among the ready servers that are not ejected and takes the server with the lower load. An ejected server gets an
 * occasional trial request, which ends the ejection if it is served.
 *
 * <p>Requests call it for each attempt and for the outcome of each attempt, on the event loop. No I/O; the caller
 * passes the time with each call, in milliseconds of the loop's clock. All draws use one random number generator, in
 * the order of the calls.
 */
public final class ServerPicker {
    private static final RoutingParameters.Ejection EJECTION = RoutingParameters.DEFAULTS.ejection();
    private static final RoutingParameters.Draw DRAW = RoutingParameters.DEFAULTS.draw();
    private static final double MS_PER_SECOND = 1_000;

    /**
     * The arguments of one pick.
     *
     * @param servers the service's servers, ready or not
     * @param allowed to which of these servers the request may be sent
     * @param load the load to compare, in a unit chosen by the caller
     * @param preferred the server that replaces the first draw if it is available; empty for none
     * @param preferredCredit the amount subtracted from the load of the preferred server
     * @param allowsTrial whether the request may be a trial of an ejected server; only for requests that can be retried
     */
    public record PickArguments(
            List<TrackedServer> servers,
            Predicate<TrackedServer> allowed,
            ToDoubleFunction<TrackedServer> load,
            Optional<TrackedServer> preferred,
            double preferredCredit,
            boolean allowsTrial) {
        /** Arguments that compare this data plane's requests in flight, without a preferred server. */
        public static PickArguments comparingInFlight(
                List<TrackedServer> servers, Predicate<TrackedServer> allowed, boolean allowsTrial) {
            return new PickArguments(servers, allowed, TrackedServer::inFlight, Optional.empty(), 0, allowsTrial);
        }
    }

    /** The ready servers, and the ready servers that are not ejected, in the order of the endpoint list. */
    private record Candidates(List<TrackedServer> ready, List<TrackedServer> notEjected) {
        /** Whether ejections apply. If more than half are ejected, the servers are probably not the cause. */
        boolean appliesEjections() {
            return 2 * notEjected.size() >= ready.size();
        }

        List<TrackedServer> eligible() {
            return appliesEjections() ? notEjected : ready;
        }
    }

    private final String ownZone;
    private final HealthVotes votes;
    private final IntSupplier dataPlanes;
    private final RandomGenerator random;
    private final Policy policy;

    /** Creates a picker for a single data plane with all mechanisms enabled. */
    public ServerPicker(String ownZone, HealthVotes votes, RandomGenerator random) {
        this(ownZone, votes, () -> 1, random, Policy.ALL_ENABLED);
    }

    /**
     * Creates a picker.
     *
     * @param ownZone the zone of this data plane
     * @param votes the votes that decide on ejection
     * @param dataPlanes the number of data planes that send to the same servers, including this one
     * @param random the generator for all draws
     * @param policy the enabled mechanisms
     */
    public ServerPicker(
            String ownZone, HealthVotes votes, IntSupplier dataPlanes, RandomGenerator random, Policy policy) {
        this.policy = policy;
        this.ownZone = ownZone;
        this.votes = votes;
        this.dataPlanes = dataPlanes;
        this.random = random;
    }

    /** The enabled mechanisms. */
    public Policy policy() {
        return policy;
    }

    /** Whether the fleet's vote ejects the server; the cached decision is used for as long as it is valid. */
    public boolean isEjected(double nowMs, TrackedServer server) {
        if (nowMs - server.ejectionDecidedAtMs() >= EJECTION.decisionValidMs()) {
            updateEjection(nowMs, server);
        }
        return server.isEjected();
    }

    /**
     * Records the outcome of one request and updates the decision on the server's ejection.
     *
     * @param requestClass the name of the request's route
     * @param healthy whether the server handled the request without a failure of its own
     */
    public void recordOutcome(double nowMs, TrackedServer server, String requestClass, boolean healthy) {
        server.outcomes().record(nowMs, requestClass, healthy);
        updateEjection(nowMs, server);
        if (healthy) {
            server.resetBackoff();
        }
    }

    private void updateEjection(double nowMs, TrackedServer server) {
        boolean wasEjected = server.isEjected();
        server.recordEjectionDecision(nowMs, votes.isEjected(nowMs, server.instanceId(), server.outcomes()));
        if (server.isEjected() && !wasEjected) {
            // the first trial is due at a random time, so that the trials of the data planes are spread out
            server.recordTrial(nowMs - random.nextDouble() * trialIntervalMs());
        }
    }

    private double trialIntervalMs() {
        double secondsBetween =
                policy.isEnabled(Mechanism.FLEET_TRIALS) ? dataPlanes.getAsInt() / EJECTION.trialsPerSecond() : 0;
        return Math.max(EJECTION.minTrialIntervalMs(), MS_PER_SECOND * secondsBetween);
    }

    /**
     * Picks the server for a request; empty if no server is available. A trial that is due takes precedence over draws.
     */
    public Optional<TrackedServer> pick(double nowMs, PickArguments arguments) {
        Candidates candidates = candidates(nowMs, arguments.servers());
        if (candidates.appliesEjections() && arguments.allowsTrial()) {
            TrackedServer trial = takeDueTrial(nowMs, candidates.ready(), arguments);
            if (trial != null) {
                return Optional.of(trial);
            }
        }
        return pickOfTwo(nowMs, candidates.eligible(), arguments);
    }

    /** The servers among which a random draw currently chooses. */
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
