package dewplank.balancer.adaptive;

import dewplank.balancer.Outcome;
import dewplank.balancer.Settings;

/**
 * Decides on a request whose attempts have all ended without a response: either retries it or completes it
 * immediately. Called by {@link AttemptTracker}.
 */
final class RetryPolicy {
    private final Settings settings;
    private final Step step;
    private final RetryBudget retries;
    private final ServerPicker picker;
    private final AttemptScheduler scheduler;
    private final RequestCompletion completion;

    RetryPolicy(
            Settings settings,
            Step step,
            RetryBudget retries,
            ServerPicker picker,
            AttemptScheduler scheduler,
            RequestCompletion completion) {
        this.settings = settings;
        this.step = step;
        this.retries = retries;
        this.picker = picker;
        this.scheduler = scheduler;
        this.completion = completion;
    }

    /**
     * Requires that the request is not complete and has no attempt in flight; {@code last} is the outcome
     * of its latest attempt.
     */
    void retryOrComplete(PendingRequest request, Outcome last) {
        boolean mayRetry = step.nowMs() + settings.tickMs() < request.deadlineAtMs
                && last != Outcome.NEVER_SENT
                && retries.allowsRetry(request);
        ServerState server = mayRetry ? picker.pick(request) : null;
        if (server != null) {
            scheduler.send(request, server);
        } else {
            completion.rejectOrFail(request);
        }
    }
}
