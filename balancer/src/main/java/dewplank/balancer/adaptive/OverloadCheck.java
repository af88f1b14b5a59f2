package dewplank.balancer.adaptive;

/**
 * Decides whether to shed an arriving request, based on the queues at the servers. Called by {@link
 * Admission}.
 */
final class OverloadCheck {
    private final ServerPicker picker;
    private final LatencyEstimates latency;
    private final LoadShedder shedder;

    OverloadCheck(ServerPicker picker, LatencyEstimates latency, LoadShedder shedder) {
        this.picker = picker;
        this.latency = latency;
        this.shedder = shedder;
    }

    /**
     * The server to which the request is sent unless it is rejected, and by which the rejection is decided:
     * the drawn server, or the candidate with the lowest cost if the drawn one is overloaded, because a bad
     * draw is no reason to reject.
     */
    ServerState serverFor(PendingRequest request, ServerState drawn, double rank) {
        boolean isBadDraw = shedder.rejectionFraction(request, drawn) > rank;
        return isBadDraw ? picker.cheapestCandidate(request) : drawn;
    }

    /** Whether to reject the request; also records the current queues. */
    boolean rejects(PendingRequest request, ServerState server, double rank) {
        double queueFraction = latency.queueFraction(server, request);
        shedder.recordShortestQueue(picker.shortestQueueFraction(request, queueFraction));
        double currentFraction = shedder.rejectionFraction(request, server);
        return currentFraction + shedder.sustainedRejectionFraction(queueFraction) > rank;
    }
}
