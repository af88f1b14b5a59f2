package dewplank.balancer.adaptive;

import dewplank.balancer.Action.Cancel;
import dewplank.balancer.Settings;

/**
 * Handles an attempt that has been in flight for unusually long: hedges it ("The Tail at Scale", Dean and
 * Barroso, CACM 56(2), 2013), or cancels it so that a retry can follow.
 */
final class HedgingPolicy {
    private final Settings settings;
    private final Step step;
    private final OutcomeMonitor outcomes;
    private final LatencyEstimates latency;
    private final RetryBudget retries;
    private final ServerPicker picker;
    private final LoadShedder shedder;
    private final AttemptScheduler scheduler;

    HedgingPolicy(
            Settings settings,
            Step step,
            OutcomeMonitor outcomes,
            LatencyEstimates latency,
            RetryBudget retries,
            ServerPicker picker,
            LoadShedder shedder,
            AttemptScheduler scheduler) {
        this.settings = settings;
        this.step = step;
        this.outcomes = outcomes;
        this.latency = latency;
        this.retries = retries;
        this.picker = picker;
        this.shedder = shedder;
        this.scheduler = scheduler;
    }

    /**
     * Records an overdue attempt as an unhealthy observation of its server, before any timeout, and may
     * hedge or cancel it.
     */
    void onOverdue(Attempt attempt) {
        PendingRequest request = attempt.request;
        if (!attempt.isInFlight() || request.isStreaming) {
            return;
        }
        attempt.isOverdue = true;
        attempt.overdueAtMs = step.nowMs();
        boolean wasSuspect = latency.isSuspect(attempt.server);
        outcomes.suspectAfterNoResponse(attempt);
        latency.recordOverdue(attempt);
        if (request.isComplete || step.nowMs() >= request.targetAtMs() || !retries.allowsRetry(request)) {
            return;
        }
        if (settings.limits().allowsHedging()) {
            hedge(attempt);
        } else if (wasSuspect && settings.limits().allowsCancellation() && !request.isUnsafe()) {
            step.emit(new Cancel(request.id, attempt.number)); // the retry is decided when the attempt ends
        }
    }

    private void hedge(Attempt attempt) {
        ServerState server = picker.pick(attempt.request);
        boolean isOtherServer = server != null && server != attempt.server;
        // At an overloaded server, a hedge only adds load.
        if (isOtherServer && shedder.rejectionFraction(attempt.request, server) <= 0) {
            scheduler.send(attempt.request, server);
        }
    }
}
