package dewplank.balancer.adaptive;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Predicate;

/** The servers that a request's next attempt may go to, the better ones where there are any. */
final class EligibleServers {
    private final Step step;
    private final AttemptRules rules;
    private final WorkingSet workingSet;
    private final ServerBackoff backoff;
    private final SlowStartBudget slowStart;
    private final LatencyEstimates latency;

    EligibleServers(
            Step step,
            AttemptRules rules,
            WorkingSet workingSet,
            ServerBackoff backoff,
            SlowStartBudget slowStart,
            LatencyEstimates latency) {
        this.step = step;
        this.rules = rules;
        this.workingSet = workingSet;
        this.backoff = backoff;
        this.slowStart = slowStart;
        this.latency = latency;
    }

    /** Whether the request may be sent to the server now. */
    boolean isEligible(ServerState server, PendingRequest request) {
        return rules.allowsAttempt(request, server)
                && backoff.isOver(server)
                && slowStart.allows(server, request); // last: its first call for a server draws a number
    }

    /**
     * The servers to draw among: of the working set, else of the healthy ones, else of all; those that the
     * request has not been sent to, where there are any. Empty if none is eligible.
     */
    List<ServerState> candidates(PendingRequest request, Predicate<ServerState> isEligible) {
        return preferred(request, eligible(isEligible));
    }

    private List<ServerState> eligible(Predicate<ServerState> isEligible) {
        List<ServerState> found = filter(workingSet.working(), isEligible);
        if (found.isEmpty()) {
            found = filter(workingSet.healthy(), isEligible);
        }
        return found.isEmpty() ? filter(workingSet.listed(), isEligible) : found;
    }

    private List<ServerState> preferred(PendingRequest request, List<ServerState> from) {
        List<ServerState> found = prefer(from, server -> !request.wasSentTo(server));
        if (request.isUnsafe()) { // there is no retry: only where the latest outcome was good
            found = prefer(found, this::isProvenHealthy);
        }
        return found;
    }

    private boolean isProvenHealthy(ServerState server) {
        return !latency.isSuspect(server) && server.health.hasRecentSuccess(step.nowMs());
    }

    /** Those of the servers that pass the test, in the same order. */
    static List<ServerState> filter(List<ServerState> from, Predicate<ServerState> test) {
        List<ServerState> found = new ArrayList<>(from.size());
        for (ServerState server : from) {
            if (test.test(server)) {
                found.add(server);
            }
        }
        return found;
    }

    private static List<ServerState> prefer(List<ServerState> from, Predicate<ServerState> test) {
        List<ServerState> found = filter(from, test);
        return found.isEmpty() ? from : found;
    }
}
