package dewplank.balancer.adaptive;

import dewplank.balancer.Action.Cancel;
import dewplank.balancer.Action.Fail;
import dewplank.balancer.Action.Reject;
import dewplank.balancer.Settings;
import java.util.random.RandomGenerator;

/** Completes requests: with a response from this instance, or when the host has the final response. */
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

    /** Rejects the request if a retry is harmless, otherwise reports that its outcome is unknown. */
    void rejectOrFail(PendingRequest request) {
        if (rules.allowsRejection(request)) {
            step.emit(new Reject(request.id, retryAfterMs(request)));
        } else {
            step.emit(new Fail(request.id));
        }
        complete(request);
    }

    private double retryAfterMs(PendingRequest request) {
        double typicalMs = fleet.slowdown * latency.typicalMs(request);
        double delayMs = settings.limits().allowsRetryAdvice() ? typicalMs * (1 + random.nextDouble()) : 0;
        return Math.min(settings.limits().maxRetryAdviceMs(), delayMs);
    }

    /** Marks the request as complete; does nothing if it is null or already complete. */
    void complete(PendingRequest request) {
        if (request == null || request.isComplete) {
            return;
        }
        request.isComplete = true;
        if (!request.isStreaming) { // a stream that has started is the response, so it continues
            cancelOthers(request, null);
        }
        requests.removeIfDone(request);
    }

    /** Cancels the request's other attempts in flight, if cancellation is allowed. */
    void cancelOthers(PendingRequest request, Attempt except) {
        for (Attempt attempt : request.attempts) {
            boolean isOther = attempt.isInFlight() && attempt != except;
            if (isOther && settings.limits().allowsCancellation()) {
                step.emit(new Cancel(request.id, attempt.number));
            }
        }
    }
}
