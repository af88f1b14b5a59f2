package dewplank.balancer.adaptive;

/**
 * Queues requests for which no server is available. Each waits only while a server may become available:
 * after an update of the endpoint list, the end of a backoff, or a refill of a slow start budget.
 */
final class WaitingRequests {
    private static final double POLL_INTERVAL_MS = 20;

    private final Step step;
    private final FleetStats fleet;
    private final EndpointSubscription subscription;
    private final EndpointTable endpoints;
    private final AttemptRules rules;
    private final LatencyEstimates latency;
    private final ServerPicker picker;
    private final AttemptScheduler scheduler;
    private final RequestCompletion completion;

    WaitingRequests(
            Step step,
            FleetStats fleet,
            EndpointSubscription subscription,
            EndpointTable endpoints,
            AttemptRules rules,
            LatencyEstimates latency,
            ServerPicker picker,
            AttemptScheduler scheduler,
            RequestCompletion completion) {
        this.step = step;
        this.fleet = fleet;
        this.subscription = subscription;
        this.endpoints = endpoints;
        this.rules = rules;
        this.latency = latency;
        this.picker = picker;
        this.scheduler = scheduler;
        this.completion = completion;
    }

    /** Queues the request, or rejects it immediately if waiting cannot help. */
    void add(PendingRequest request) {
        double typicalMs = fleet.slowdown * latency.typicalMs(request);
        double latestSendAtMs = Math.min(request.targetAtMs(), request.deadlineAtMs) - typicalMs;
        if (waitMayHelp(request) && step.nowMs() + POLL_INTERVAL_MS < latestSendAtMs) {
            step.schedule(POLL_INTERVAL_MS, () -> poll(request));
        } else {
            completion.rejectOrFail(request);
        }
    }

    private boolean waitMayHelp(PendingRequest request) {
        if (subscription.isPending()) {
            return true;
        }
        for (ServerState server : endpoints.servers()) {
            if (rules.allowsAttempt(request, server)) {
                return true;
            }
        }
        return false;
    }

    private void poll(PendingRequest request) {
        if (request.isComplete) {
            return;
        }
        ServerState server = picker.pick(request);
        if (server != null) {
            scheduler.send(request, server);
        } else {
            add(request);
        }
    }
}
