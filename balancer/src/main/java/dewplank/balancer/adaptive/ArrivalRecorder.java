package dewplank.balancer.adaptive;

import dewplank.balancer.Event.RequestArrived;

/**
 * Takes each request that arrives into account: its value, the budgets of retries and trials that it refills,
 * the rate by which the working set is sized. Called by {@link Admission}, once for each request.
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

    /** The request that arrived, which is pending from now on. */
    PendingRequest record(RequestArrived event) {
        PendingRequest request = values.evaluate(event);
        retries.recordArrival();
        trials.recordArrival();
        workingSet.recordArrival();
        requests.add(request);
        return request;
    }

    /** Where the request ranks among recent ones by value per work, from 0 to 1; called once for each. */
    double rank(PendingRequest request) {
        return values.rank(request);
    }
}
