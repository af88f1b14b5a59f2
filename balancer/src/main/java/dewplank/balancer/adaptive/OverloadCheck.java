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
     * The server whose load decides whether the request is rejected; otherwise the request is sent to it.
     * This is the drawn server or, if that is overloaded, the candidate with the lowest cost, because an
     * unlucky draw is no reason to reject a request.
     */
    ServerState serverFor(PendingRequest request, ServerState drawn, double rank) {
        boolean isOverloaded = shedder.rejectionFraction(request, drawn) > rank;
        return isOverloaded ? picker.cheapestCandidate(request) : drawn;
    }

    /** Whether to reject the request; also records the current queues. */
    boolean rejects(PendingRequest request, ServerState server, double rank) {
        double queueFraction = latency.queueFraction(server, request);
        shedder.recordShortestQueue(picker.shortestQueueFraction(request, queueFraction));
        double currentFraction = shedder.rejectionFraction(request, server);
        return currentFraction + shedder.sustainedRejectionFraction(queueFraction) > rank;
    }
}
