package dewplank.balancer.adaptive;

import dewplank.balancer.Action.Send;
import dewplank.balancer.Settings;
import java.util.function.Consumer;

/** Sends attempts, and notes when one is overdue. */
final class AttemptScheduler {
    private final Settings settings;
    private final Step step;
    private final AttemptRules rules;
    private final RetryBudget retries;
    private final SlowStartBudget slowStart;
    private final LatencyEstimates latency;
    private final WorkingSet workingSet;
    private final Consumer<Attempt> onOverdue;

    /**
     * {@code onOverdue} takes each attempt that may be overdue; it looks whether the attempt still is in
     * flight.
     */
    AttemptScheduler(
            Settings settings,
            Step step,
            AttemptRules rules,
            RetryBudget retries,
            SlowStartBudget slowStart,
            LatencyEstimates latency,
            WorkingSet workingSet,
            Consumer<Attempt> onOverdue) {
        this.settings = settings;
        this.step = step;
        this.rules = rules;
        this.retries = retries;
        this.slowStart = slowStart;
        this.latency = latency;
        this.workingSet = workingSet;
        this.onOverdue = onOverdue;
    }

    /** Sends the request's next attempt to a server that {@link AttemptRules#allowsAttempt} allows. */
    void send(PendingRequest request, ServerState server) {
        retries.recordAttempt(request);
        int load = latency.load(server);
        boolean opensConnection = latency.needsConnection(server);
        Attempt attempt = new Attempt(request, server, step.nowMs(), load, opensConnection);
        request.attempts.add(attempt);
        server.inFlight.add(attempt);
        server.connections += attempt.opensConnection ? 1 : 0;
        slowStart.recordSend(server, request.workMs(), workingSet.working());
        double overdueAfterMs = latency.overdueAfterMs(request, server);
        double timeoutMs = endsWhenOverdue(request, server) ? overdueAfterMs : 0;
        step.emit(new Send(request.id, server.id, timeoutMs, rules.writeWithinMs(request)));
        if (overdueAfterMs < request.deadlineAtMs - step.nowMs()) {
            step.schedule(overdueAfterMs, () -> onOverdue.accept(attempt));
        }
    }

    /**
     * Where an overdue attempt can neither be cancelled nor hedged, it times out, unless it may just be long.
     */
    private boolean endsWhenOverdue(PendingRequest request, ServerState server) {
        return !settings.limits().allowsCancellation()
                && !settings.limits().allowsHedging()
                && !request.isUnsafe()
                && latency.isSuspect(server);
    }
}
