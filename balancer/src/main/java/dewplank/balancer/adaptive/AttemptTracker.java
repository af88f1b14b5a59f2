package dewplank.balancer.adaptive;

import dewplank.balancer.Event.AttemptEnded;
import dewplank.balancer.Event.StreamStarted;

/** Handles the events of attempts in flight: records outcomes, retries requests, and completes them. */
final class AttemptTracker {
    private final RequestTable requests;
    private final OutcomeRecorder recorder;
    private final RetryPolicy retries;
    private final RequestCompletion completion;

    AttemptTracker(
            RequestTable requests,
            OutcomeRecorder outcomeRecorder,
            RetryPolicy retryPolicy,
            RequestCompletion completion) {
        this.requests = requests;
        this.recorder = outcomeRecorder;
        this.retries = retryPolicy;
        this.completion = completion;
    }

    void onStreamStarted(StreamStarted event) {
        Attempt attempt = requests.findAttempt(event.request(), event.attempt());
        if (attempt == null) {
            return;
        }
        PendingRequest request = attempt.request;
        request.isStreaming = true;
        recorder.recordStreamStarted(attempt, event.elapsedMs());
        completion.cancelOthers(request, attempt);
    }

    void onEnded(AttemptEnded event) {
        Attempt attempt = requests.findAttempt(event.request(), event.attempt());
        if (attempt == null) {
            return;
        }
        PendingRequest request = attempt.request;
        recorder.recordEnd(attempt, event);
        if (event.requestIsOver()) {
            completion.complete(request);
        }
        if (!request.isComplete && !request.isStreaming && !request.hasAttemptInFlight()) {
            retries.retryOrComplete(request, event.outcome());
        }
        requests.removeIfDone(request);
    }
}
