package dewplank.balancer.adaptive;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Predicate;

/**
 * Selects the servers to which a request's next attempt may be sent, and prefers the better ones among
 * them.
 */
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
                && backoff.hasEnded(server)
                && slowStart.allows(server, request); // last: its first call may draw a random number
    }

    /**
     * The servers to draw from: the eligible ones of the working set, otherwise of the healthy servers,
     * otherwise of all listed servers; among these, servers to which the request has not been sent yet, if
     * there are any. Empty if no server is eligible.
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
        if (request.isUnsafe()) { // it cannot be retried: prefer servers whose latest outcome was healthy
            found = prefer(found, this::isProvenHealthy);
        }
        return found;
    }

    private boolean isProvenHealthy(ServerState server) {
        return !latency.isSuspect(server) && server.health.hasRecentSuccess(step.nowMs());
    }

    /** The servers that match the predicate, in the same order. */
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
