package dewplank.balancer.adaptive;

import dewplank.balancer.Settings;
import dewplank.balancer.WeightedDraw;
import dewplank.balancer.health.ServerHealth;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Predicate;
import java.util.random.RandomGenerator;

/**
 * Picks the server of an attempt: the better of two drawn by weight ("The Power of Two Choices in Randomized
 * Load Balancing", Mitzenmacher, IEEE TPDS 12(10), 2001), in the local zone and in the others; of both the
 * cheaper one.
 */
final class ServerPicker {
    private static final long KEY_HASH_MULTIPLIER = 31;

    private final Settings settings;
    private final Step step;
    private final FleetStats fleet;
    private final AttemptRules rules;
    private final WorkingSet workingSet;
    private final EjectionTrials trials;
    private final ServerBackoff backoff;
    private final SlowStartBudget slowStart;
    private final LatencyEstimates latency;
    private final PlacementCost cost;
    private final RandomGenerator random;
    private List<ServerState> candidates = List.of();

    ServerPicker(
            Settings settings,
            Step step,
            FleetStats fleet,
            AttemptRules rules,
            WorkingSet workingSet,
            EjectionTrials trials,
            ServerBackoff backoff,
            SlowStartBudget slowStart,
            LatencyEstimates latency,
            PlacementCost cost,
            RandomGenerator random) {
        this.settings = settings;
        this.step = step;
        this.fleet = fleet;
        this.rules = rules;
        this.workingSet = workingSet;
        this.trials = trials;
        this.backoff = backoff;
        this.slowStart = slowStart;
        this.latency = latency;
        this.cost = cost;
        this.random = random;
    }

    /** The server for the request's next attempt, or null if there is none now. */
    ServerState pick(PendingRequest request) {
        workingSet.review();
        Predicate<ServerState> isEligible = server -> isEligible(server, request);
        ServerState trial = trials.pick(request, isEligible);
        if (trial != null) {
            candidates = List.of(trial);
            return trial;
        }
        candidates = preferred(request, eligible(isEligible));
        boolean usesCaches = request.key != null && settings.serversCacheKeys();
        request.cachingServer = usesCaches ? serverOfKey(request.key) : null;
        ServerState local = betterOfTwo(filter(candidates, server -> server.isLocal), request);
        ServerState remote = betterOfTwo(filter(candidates, server -> !server.isLocal), request);
        if (local == null || remote == null) {
            return local == null ? remote : local;
        }
        return cost.of(local, request) <= cost.of(remote, request) ? local : remote;
    }

    /**
     * The least costly of all servers that the last {@link #pick} chose from; never null after one that found
     * any.
     */
    ServerState cheapestCandidate(PendingRequest request) {
        ServerState cheapest = null;
        double leastCost = 0;
        for (ServerState server : candidates) {
            double serverCost = cost.of(server, request);
            if (cheapest == null || Double.compare(serverCost, leastCost) < 0) {
                cheapest = server;
                leastCost = serverCost;
            }
        }
        return cheapest;
    }

    /** The least queue among those candidates that answered lately; the other one if none did. */
    double shortestQueueShare(PendingRequest request, double otherwise) {
        double shortest = Double.POSITIVE_INFINITY;
        boolean isKnown = false;
        for (ServerState server : candidates) {
            if (latency.hasRecentSample(server)) {
                shortest = Math.min(shortest, latency.queueShare(server, request));
                isKnown = true;
            }
        }
        return isKnown ? shortest : otherwise;
    }

    private boolean isEligible(ServerState server, PendingRequest request) {
        return rules.allowsAttempt(request, server)
                && backoff.isOver(server)
                && slowStart.allows(server, request); // last: its first call for a server draws a number
    }

    private List<ServerState> eligible(Predicate<ServerState> isEligible) {
        List<ServerState> found = filter(workingSet.working(), isEligible);
        if (found.isEmpty()) {
            found = filter(workingSet.healthy(), isEligible);
        }
        return found.isEmpty() ? filter(workingSet.listed(), isEligible) : found;
    }

    private List<ServerState> preferred(PendingRequest request, List<ServerState> from) {
        List<ServerState> found = prefer(from, server -> !request.wasSentTo(server));
        if (request.isUnsafe()) { // there is no retry: only where the latest outcome was good
            found = prefer(found, this::isProvenHealthy);
        }
        return found;
    }

    private boolean isProvenHealthy(ServerState server) {
        return !latency.isSuspect(server) && server.health.hasRecentSuccess(step.nowMs());
    }

    /**
     * The candidate that owns the key by rendezvous hashing ("Using Name-Based Mappings to Increase Hit
     * Rates", Thaler and Ravishankar, IEEE/ACM ToN 6(1), 1998): all instances agree on it without messages,
     * and only the keys of a server that comes or goes change theirs. It most likely has the key cached.
     */
    private ServerState serverOfKey(String key) {
        ServerState owner = null;
        long highest = 0;
        for (ServerState server : candidates) {
            long score = Hashing.mix(server.id.hashCode() * KEY_HASH_MULTIPLIER + key.hashCode());
            if (owner == null || score > highest) {
                owner = server;
                highest = score;
            }
        }
        return owner;
    }

    /** Of two by weight, the key's server always one: that with fewer in flight, or of lesser cost. */
    private ServerState betterOfTwo(List<ServerState> from, PendingRequest request) {
        if (from.isEmpty()) {
            return null;
        }
        ServerState first = from.contains(request.cachingServer)
                ? request.cachingServer
                : WeightedDraw.draw(from, null, this::drawWeight, random);
        if (from.size() == 1) {
            return first;
        }
        ServerState second = WeightedDraw.draw(from, first, this::drawWeight, random);
        int extraLoad = latency.load(first) - latency.load(second);
        if (extraLoad == 0) {
            return cost.of(first, request) <= cost.of(second, request) ? first : second;
        }
        return extraLoad < 0 ? first : second;
    }

    private double drawWeight(ServerState server) {
        double statedRating = Math.max(server.endpoint.rating(), ServerHealth.WEIGHT_FLOOR);
        double rating = settings.serversAreRated() ? statedRating : 1;
        double reachability = latency.needsConnection(server)
                ? Math.max(ServerHealth.WEIGHT_FLOOR, 1 - fleet.connectFailureShare)
                : 1;
        return server.health.weight() * rating * reachability * slowStart.expectedCapacity(server);
    }

    private static List<ServerState> filter(List<ServerState> from, Predicate<ServerState> test) {
        List<ServerState> found = new ArrayList<>(from.size());
        for (ServerState server : from) {
            if (test.test(server)) {
                found.add(server);
            }
        }
        return found;
    }

    private static List<ServerState> prefer(List<ServerState> from, Predicate<ServerState> test) {
        List<ServerState> found = filter(from, test);
        return found.isEmpty() ? from : found;
    }
}
