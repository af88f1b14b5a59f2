package dewplank.balancer.adaptive;

import dewplank.balancer.Event.RequestArrived;

/** Decides on a request at its arrival: sent, queued until a server is there, or rejected. */
final class Admission {
    private final RequestTable requests;
    private final ValueModel values;
    private final RetryBudget retries;
    private final EjectionTrials trials;
    private final WorkingSet workingSet;
    private final ServerPicker picker;
    private final LatencyEstimates latency;
    private final LoadShedder shedder;
    private final AttemptScheduler scheduler;
    private final WaitingRequests waiting;
    private final RequestCompletion completion;

    Admission(
            RequestTable requests,
            ValueModel values,
            RetryBudget retries,
            EjectionTrials trials,
            WorkingSet workingSet,
            ServerPicker picker,
            LatencyEstimates latency,
            LoadShedder shedder,
            AttemptScheduler scheduler,
            WaitingRequests waiting,
            RequestCompletion completion) {
        this.requests = requests;
        this.values = values;
        this.retries = retries;
        this.trials = trials;
        this.workingSet = workingSet;
        this.picker = picker;
        this.latency = latency;
        this.shedder = shedder;
        this.scheduler = scheduler;
        this.waiting = waiting;
        this.completion = completion;
    }

    void onArrival(RequestArrived event) {
        PendingRequest request = values.evaluate(event);
        retries.recordArrival();
        trials.recordArrival();
        workingSet.recordArrival();
        requests.add(request);
        double rank = values.rank(request);
        ServerState server = picker.pick(request);
        if (server == null) {
            waiting.add(request);
        } else if (trials.isTrial(server)) { // lateness there is no reason to reject
            scheduler.send(request, server);
        } else {
            admit(request, server, rank);
        }
    }

    private void admit(PendingRequest request, ServerState drawn, double rank) {
        // A bad draw is no reason to reject: look over all candidates.
        boolean isBadDraw = shedder.rejectedShare(request, drawn) > rank;
        ServerState server = isBadDraw ? picker.cheapestCandidate(request) : drawn;
        double queueShare = latency.queueShare(server, request);
        shedder.recordShortestQueue(picker.shortestQueueShare(request, queueShare));
        double currentShare = shedder.rejectedShare(request, server);
        double rejectedShare = currentShare + shedder.lastingShare(queueShare);
        if (rejectedShare > rank) {
            completion.rejectOrFail(request);
        } else {
            scheduler.send(request, server);
        }
    }
}
