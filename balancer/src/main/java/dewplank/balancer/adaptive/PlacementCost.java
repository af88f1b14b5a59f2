package dewplank.balancer.adaptive;

import dewplank.balancer.Settings;

/**
 * The expected loss of placing a request at a server: value lost to lateness, and the price of crossing
 * zones and of connecting.
 */
final class PlacementCost {
    private static final double MIN_VALUE = 1e-9;

    private final Settings settings;
    private final Step step;
    private final LatencyEstimates latency;
    private final LoadShedder shedder;
    private final ValueModel values;

    PlacementCost(
            Settings settings,
            Step step,
            LatencyEstimates latencyEstimates,
            LoadShedder loadShedder,
            ValueModel valueModel) {
        this.settings = settings;
        this.step = step;
        this.latency = latencyEstimates;
        this.shedder = loadShedder;
        this.values = valueModel;
    }

    /** The cost as a fraction of the request's value; may exceed 1. */
    double of(ServerState server, PendingRequest request) {
        double servedAtMs = latency.predictedMs(server, request) + step.nowMs();
        double lateness = (servedAtMs - request.arrivedAtMs) / request.targetMs();
        double price = latency.needsConnection(server) ? settings.prices().handshake() : 0;
        price += server.isLocal ? 0 : settings.prices().crossZone();
        // The larger of lateness and rejection probability. Without the latter, the local zone would reject
        // requests that another zone can still serve. The cost is linear in lateness, so that the local zone
        // is not overloaded if crossing zones is cheap.
        double expectedLoss = Math.max(lateness, Math.min(1, shedder.rejectionFraction(request, server)));
        return expectedLoss + price * values.meanValue() / Math.max(request.value, MIN_VALUE);
    }
}
