package dewplank.balancer.adaptive;

import static dewplank.balancer.adaptive.EligibleServers.filter;

import dewplank.balancer.Settings;
import java.util.List;
import java.util.function.Predicate;

/**
 * Picks the server for an attempt: an ejected server that is due for a trial. If there is none, it draws two
 * servers by weight in the local zone and two in the other zones, and compares the better ones by cost.
 */
final class ServerPicker {
    private static final long KEY_HASH_MULTIPLIER = 31;

    private final Settings settings;
    private final WorkingSet workingSet;
    private final EjectionTrials trials;
    private final EligibleServers eligibility;
    private final TwoChoices twoChoices;
    private final LatencyEstimates latency;
    private final PlacementCost cost;
    private List<ServerState> candidates = List.of();

    ServerPicker(
            Settings settings,
            WorkingSet workingSet,
            EjectionTrials trials,
            EligibleServers eligibility,
            TwoChoices twoChoices,
            LatencyEstimates latency,
            PlacementCost cost) {
        this.settings = settings;
        this.workingSet = workingSet;
        this.trials = trials;
        this.eligibility = eligibility;
        this.twoChoices = twoChoices;
        this.latency = latency;
        this.cost = cost;
    }

    /** The server for the request's next attempt, or null if none is available now. */
    ServerState pick(PendingRequest request) {
        workingSet.review();
        Predicate<ServerState> isEligible = server -> eligibility.isEligible(server, request);
        ServerState trial = trials.pick(request, isEligible);
        if (trial != null) {
            candidates = List.of(trial);
            return trial;
        }
        candidates = eligibility.candidates(request, isEligible);
        boolean usesCache = request.key != null && settings.serversCacheKeys();
        request.cachingServer = usesCache ? serverOfKey(request.key) : null;
        ServerState local = twoChoices.betterOfTwo(filter(candidates, server -> server.isLocal), request);
        ServerState remote = twoChoices.betterOfTwo(filter(candidates, server -> !server.isLocal), request);
        if (local == null || remote == null) {
            return local == null ? remote : local;
        }
        return cost.of(local, request) <= cost.of(remote, request) ? local : remote;
    }

    /**
     * The server with the lowest cost among the candidates of the last {@link #pick}; not null if that call
     * found a server.
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

    /**
     * The shortest queue among the candidates with recent responses, or {@code fallback} if there are
     * none.
     */
    double shortestQueueFraction(PendingRequest request, double fallback) {
        double shortest = Double.POSITIVE_INFINITY;
        boolean hasRecentSample = false;
        for (ServerState server : candidates) {
            if (latency.hasRecentSample(server)) {
                shortest = Math.min(shortest, latency.queueFraction(server, request));
                hasRecentSample = true;
            }
        }
        return hasRecentSample ? shortest : fallback;
    }

    /**
     * The candidate to which rendezvous hashing assigns the key ("Using Name-Based Mappings to Increase Hit
     * Rates", Thaler and Ravishankar, IEEE/ACM ToN 6(1), 1998): all instances compute the same assignment
     * without messages, and adding or removing a server only reassigns that server's keys. The server most
     * likely has the key cached.
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
}
