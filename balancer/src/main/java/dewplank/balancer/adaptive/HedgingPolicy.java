package dewplank.balancer.adaptive;

import dewplank.balancer.Action.Cancel;
import dewplank.balancer.Settings;

/**
 * What to do about an attempt that is in flight for longer than is usual: hedge it ("The Tail at Scale", Dean
 * and Barroso, CACM 56(2), 2013), or cancel it so that a retry may follow.
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

    /** An attempt pending past the fleet's usual time is an unhealthy observation before any time-out. */
    void onOverdue(Attempt attempt) {
        PendingRequest request = attempt.request;
        if (!attempt.isInFlight() || request.isStreaming) {
            return;
        }
        attempt.isOverdue = true;
        attempt.overdueAtMs = step.nowMs();
        boolean wasSuspect = latency.isSuspect(attempt.server);
        outcomes.suspectAsStuck(attempt);
        latency.recordOverdue(attempt);
        if (request.isOver || step.nowMs() >= request.targetAtMs() || !retries.allowsRetry(request)) {
            return;
        }
        if (settings.limits().allowsHedging()) {
            hedge(attempt);
        } else if (wasSuspect && settings.limits().allowsCancellation() && !request.isUnsafe()) {
            step.emit(new Cancel(request.id, attempt.number)); // the outcome decides on the next attempt
        }
    }

    private void hedge(Attempt attempt) {
        ServerState server = picker.pick(attempt.request);
        boolean isElsewhere = server != null && server != attempt.server;
        // To a crowded server a hedge only adds work.
        if (isElsewhere && shedder.rejectedShare(attempt.request, server) <= 0) {
            scheduler.send(attempt.request, server);
        }
    }
}
