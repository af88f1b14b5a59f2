package dewplank.balancer.adaptive;

/** Whether a request that arrives is shed, by the queues that it would meet. Called by {@link Admission}. */
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
     * The server by which the request is judged, and to which it is sent unless it is rejected: the one
     * drawn, or the cheapest candidate where the draw was bad, as a bad draw is no reason to reject.
     */
    ServerState serverFor(PendingRequest request, ServerState drawn, double rank) {
        boolean isBadDraw = shedder.rejectedShare(request, drawn) > rank;
        return isBadDraw ? picker.cheapestCandidate(request) : drawn;
    }

    /** Whether the request is to be rejected; the queue at the server is learned from. */
    boolean rejects(PendingRequest request, ServerState server, double rank) {
        double queueShare = latency.queueShare(server, request);
        shedder.recordShortestQueue(picker.shortestQueueShare(request, queueShare));
        double currentShare = shedder.rejectedShare(request, server);
        return currentShare + shedder.lastingShare(queueShare) > rank;
    }
}
