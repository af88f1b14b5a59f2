package dewplank.balancer.adaptive;

import dewplank.balancer.Event.RequestArrived;

/**
 * Records each request that arrives: computes its value, refills the budgets of retries and trials, and
 * updates the request rate that determines the size of the working set. Called by {@link Admission}, once
 * per request.
 */
final class ArrivalRecorder {
    private final RequestTable requests;
    private final ValueModel values;
    private final RetryBudget retries;
    private final EjectionTrials trials;
    private final WorkingSet workingSet;

    ArrivalRecorder(
            RequestTable requests,
            ValueModel values,
            RetryBudget retries,
            EjectionTrials trials,
            WorkingSet workingSet) {
        this.requests = requests;
        this.values = values;
        this.retries = retries;
        this.trials = trials;
        this.workingSet = workingSet;
    }

    /** Adds the request to the pending requests and returns it. */
    PendingRequest record(RequestArrived event) {
        PendingRequest request = values.evaluate(event);
        retries.recordArrival();
        trials.recordArrival();
        workingSet.recordArrival();
        requests.add(request);
        return request;
    }

    /**
     * The request's rank among recent requests by value per unit of work, from 0 to 1; call once per
     * request.
     */
    double rank(PendingRequest request) {
        return values.rank(request);
    }
}
