package dewplank.balancer.adaptive;

/**
 * Requests for which there is no server now. Each waits only while that can help: a list may come, a backoff
 * may end, a slow start's budget refills.
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

    /** Takes the request, or rejects it at once if no wait can help. */
    void add(PendingRequest request) {
        double usualMs = fleet.slowdown * latency.usualMs(request);
        double lastMomentMs = Math.min(request.targetAtMs(), request.deadlineAtMs) - usualMs;
        if (mayHelp(request) && step.nowMs() + POLL_INTERVAL_MS < lastMomentMs) {
            step.schedule(POLL_INTERVAL_MS, () -> poll(request));
        } else {
            completion.rejectOrFail(request);
        }
    }

    private boolean mayHelp(PendingRequest request) {
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
        if (request.isOver) {
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
