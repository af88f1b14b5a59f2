package dewplank.balancer.adaptive;

import dewplank.balancer.Event.RequestArrived;

/**
 * Decides on each request at its arrival: send it, queue it until a server becomes available, or reject it.
 */
final class Admission {
    private final ArrivalRecorder arrivals;
    private final ServerPicker picker;
    private final EjectionTrials trials;
    private final OverloadCheck overload;
    private final AttemptScheduler scheduler;
    private final WaitingRequests waiting;
    private final RequestCompletion completion;

    Admission(
            ArrivalRecorder arrivals,
            ServerPicker picker,
            EjectionTrials trials,
            OverloadCheck overload,
            AttemptScheduler scheduler,
            WaitingRequests waiting,
            RequestCompletion completion) {
        this.arrivals = arrivals;
        this.picker = picker;
        this.trials = trials;
        this.overload = overload;
        this.scheduler = scheduler;
        this.waiting = waiting;
        this.completion = completion;
    }

    void onArrival(RequestArrived event) {
        PendingRequest request = arrivals.record(event);
        double rank = arrivals.rank(request);
        ServerState server = picker.pick(request);
        if (server == null) {
            waiting.add(request);
        } else if (trials.isTrial(server)) { // the latency of an ejected server must not cause a rejection
            scheduler.send(request, server);
        } else {
            admit(request, server, rank);
        }
    }

    private void admit(PendingRequest request, ServerState drawn, double rank) {
        ServerState server = overload.serverFor(request, drawn, rank);
        if (overload.rejects(request, server, rank)) {
            completion.rejectOrFail(request);
        } else {
            scheduler.send(request, server);
        }
    }
}
