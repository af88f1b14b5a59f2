package dewplank.balancer.adaptive;

import dewplank.balancer.Settings;

/** What a request loses at a server: value by lateness, and the price of crossing zones and connecting. */
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

    /** As a part of the request's value; may exceed 1. */
    double of(ServerState server, PendingRequest request) {
        double servedAtMs = latency.predictedMs(server, request) + step.nowMs();
        double lateness = (servedAtMs - request.arrivedAtMs) / request.targetMs();
        double price = latency.needsConnection(server) ? settings.prices().handshake() : 0;
        price += server.isLocal ? 0 : settings.prices().crossZone();
        // The larger of lateness and the odds of a rejection: without the second, the local zone would reject
        // what another one still serves. Linear: where crossing is cheap, the local zone must not be crowded.
        double atRisk = Math.max(lateness, Math.min(1, shedder.rejectedShare(request, server)));
        return atRisk + price * values.meanValue() / Math.max(request.value, MIN_VALUE);
    }
}
