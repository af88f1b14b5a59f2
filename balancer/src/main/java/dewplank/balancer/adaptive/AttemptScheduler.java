package dewplank.balancer.adaptive;

import dewplank.balancer.Action.Send;
import dewplank.balancer.Settings;
import java.util.function.Consumer;

/** Sends attempts, and sets a timer for the moment at which each becomes overdue. */
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
     * {@code onOverdue} receives each attempt whose timer has expired, and must check whether the attempt
     * is still in flight.
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

    /** Sends the request's next attempt to a server for which {@link AttemptRules#allowsAttempt} is true. */
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
        double timeoutMs = timesOutWhenOverdue(request, server) ? overdueAfterMs : 0;
        step.emit(new Send(request.id, server.id, timeoutMs, rules.writeWithinMs(request)));
        if (overdueAfterMs < request.deadlineAtMs - step.nowMs()) {
            step.schedule(overdueAfterMs, () -> onOverdue.accept(attempt));
        }
    }

    /**
     * Whether the attempt times out as soon as it is overdue. This replaces cancellation and hedging if
     * neither is allowed, but only for requests that may be repeated, and only at a suspect server:
     * at other servers, the request may simply take long.
     */
    private boolean timesOutWhenOverdue(PendingRequest request, ServerState server) {
        return !settings.limits().allowsCancellation()
                && !settings.limits().allowsHedging()
                && !request.isUnsafe()
                && latency.isSuspect(server);
    }
}
