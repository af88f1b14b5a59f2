package dewplank.balancer.adaptive;

import dewplank.balancer.Settings;
import dewplank.balancer.WeightedDraw;
import dewplank.balancer.health.ServerHealth;
import java.util.List;
import java.util.random.RandomGenerator;

/**
 * Chooses the better of two servers drawn by weight ("The Power of Two Choices in Randomized Load
 * Balancing", Mitzenmacher, IEEE TPDS 12(10), 2001). Called by {@link ServerPicker}, which determines the
 * order of draws.
 */
final class TwoChoices {
    private final Settings settings;
    private final FleetStats fleet;
    private final SlowStartBudget slowStart;
    private final LatencyEstimates latency;
    private final PlacementCost cost;
    private final RandomGenerator random;

    TwoChoices(
            Settings settings,
            FleetStats fleet,
            SlowStartBudget slowStart,
            LatencyEstimates latency,
            PlacementCost cost,
            RandomGenerator random) {
        this.settings = settings;
        this.fleet = fleet;
        this.slowStart = slowStart;
        this.latency = latency;
        this.cost = cost;
        this.random = random;
    }

    /**
     * Draws two servers by weight, or one besides the server that has the key cached, and returns the one
     * with fewer requests in flight, or with the lower cost if the numbers are equal; null if there are no
     * servers.
     */
    ServerState betterOfTwo(List<ServerState> from, PendingRequest request) {
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
        int loadDifference = latency.load(first) - latency.load(second);
        if (loadDifference == 0) {
            return cost.of(first, request) <= cost.of(second, request) ? first : second;
        }
        return loadDifference < 0 ? first : second;
    }

    private double drawWeight(ServerState server) {
        double boundedRating = Math.max(server.endpoint.rating(), ServerHealth.WEIGHT_FLOOR);
        double rating = settings.serversAreRated() ? boundedRating : 1;
        double reachability = latency.needsConnection(server)
                ? Math.max(ServerHealth.WEIGHT_FLOOR, 1 - fleet.connectFailureFraction)
                : 1;
        return server.health.weight() * rating * reachability * slowStart.expectedCapacity(server);
    }
}
