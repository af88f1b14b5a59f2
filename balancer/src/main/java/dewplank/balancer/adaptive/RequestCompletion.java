package dewplank.balancer.adaptive;

import dewplank.balancer.Action.Cancel;
import dewplank.balancer.Action.Fail;
import dewplank.balancer.Action.Reject;
import dewplank.balancer.Settings;
import java.util.random.RandomGenerator;

/** Ends requests: by an answer of this instance's own, or because the host has the final one. */
final class RequestCompletion {
    private final Settings settings;
    private final Step step;
    private final FleetStats fleet;
    private final RequestTable requests;
    private final AttemptRules rules;
    private final LatencyEstimates latency;
    private final RandomGenerator random;

    RequestCompletion(
            Settings settings,
            Step step,
            FleetStats fleet,
            RequestTable requests,
            AttemptRules rules,
            LatencyEstimates latency,
            RandomGenerator random) {
        this.settings = settings;
        this.step = step;
        this.fleet = fleet;
        this.requests = requests;
        this.rules = rules;
        this.latency = latency;
        this.random = random;
    }

    /** Rejects the request where a retry is harmless, else reports that its outcome is unknown. */
    void rejectOrFail(PendingRequest request) {
        if (rules.allowsRejection(request)) {
            step.emit(new Reject(request.id, retryAfterMs(request)));
        } else {
            step.emit(new Fail(request.id));
        }
        close(request);
    }

    private double retryAfterMs(PendingRequest request) {
        double usualMs = fleet.slowdown * latency.usualMs(request);
        double delayMs = settings.limits().allowsRetryAdvice() ? usualMs * (1 + random.nextDouble()) : 0;
        return Math.min(settings.limits().maxRetryAdviceMs(), delayMs);
    }

    /** The request has its final answer or needs none; null and a closed one are ignored. */
    void close(PendingRequest request) {
        if (request == null || request.isOver) {
            return;
        }
        request.isOver = true;
        if (!request.isStreaming) { // a stream that has started is the client's
            cancelOthers(request, null);
        }
        requests.removeIfDone(request);
    }

    /** Cancels the request's attempts in flight but this one, where that is allowed. */
    void cancelOthers(PendingRequest request, Attempt except) {
        for (Attempt attempt : request.attempts) {
            boolean isOther = attempt.isInFlight() && attempt != except;
            if (isOther && settings.limits().allowsCancellation()) {
                step.emit(new Cancel(request.id, attempt.number));
            }
        }
    }
}
