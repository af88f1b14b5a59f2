package dewplank.balancer.adaptive;

import static dewplank.balancer.adaptive.EligibleServers.filter;

import dewplank.balancer.Settings;
import java.util.List;
import java.util.function.Predicate;

/**
 * Picks the server of an attempt: a due trial first; else the better of two drawn by weight, in the local
 * zone and in the others; of both the cheaper one.
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

    /** The server for the request's next attempt, or null if there is none now. */
    ServerState pick(PendingRequest request) {
        workingSet.review();
        Predicate<ServerState> isEligible = server -> eligibility.isEligible(server, request);
        ServerState trial = trials.pick(request, isEligible);
        if (trial != null) {
            candidates = List.of(trial);
            return trial;
        }
        candidates = eligibility.candidates(request, isEligible);
        boolean usesCaches = request.key != null && settings.serversCacheKeys();
        request.cachingServer = usesCaches ? serverOfKey(request.key) : null;
        ServerState local = twoChoices.betterOfTwo(filter(candidates, server -> server.isLocal), request);
        ServerState remote = twoChoices.betterOfTwo(filter(candidates, server -> !server.isLocal), request);
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
        boolean hasRecentSample = false;
        for (ServerState server : candidates) {
            if (latency.hasRecentSample(server)) {
                shortest = Math.min(shortest, latency.queueShare(server, request));
                hasRecentSample = true;
            }
        }
        return hasRecentSample ? shortest : otherwise;
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
}
