package dewplank.balancer.adaptive;

import dewplank.balancer.Settings;
import java.util.List;
import java.util.random.RandomGenerator;

/**
 * Slow start: estimates a server's capacity from its age, and limits the work that this instance sends to
 * servers that are warming up.
 */
final class SlowStartBudget {
    private static final double WARM_RATE_FRACTION = 0.6; // of this instance's average rate to a warm server
    private static final double MIN_SERVER_CORES = 0.25; // standard cores of the smallest server
    private static final double RATE_TIME_CONSTANT_MS = 3_000;

    private final Settings settings;
    private final Step step;
    private final RandomGenerator random;
    private final DecayingSum warmRate = new DecayingSum(RATE_TIME_CONSTANT_MS);

    SlowStartBudget(Settings settings, Step step, RandomGenerator random) {
        this.settings = settings;
        this.step = step;
        this.random = random;
    }

    /** The fraction of its capacity that a server is guaranteed to have at its age; 1 once it is warm. */
    double guaranteedCapacity(ServerState server) {
        Double startedAtMs = server.endpoint.startedAtMs();
        double slowStartMs = settings.safety().slowStartMs();
        if (startedAtMs == null || startedAtMs <= 0 || slowStartMs <= 0) {
            return 1;
        }
        double age = Math.max(0, step.nowMs() - startedAtMs) / slowStartMs;
        double initialCapacity = settings.safety().slowStartInitialShare();
        return Math.min(1, initialCapacity + (1 - initialCapacity) * age);
    }

    boolean isWarm(ServerState server) {
        return guaranteedCapacity(server) >= 1;
    }

    /**
     * The expected fraction of the server's capacity: the geometric mean of the guaranteed fraction and 1.
     * With the guaranteed fraction, on which the budget is based, an overloaded fleet would leave new
     * servers idle.
     */
    double expectedCapacity(ServerState server) {
        return Math.sqrt(guaranteedCapacity(server));
    }

    /**
     * Whether the request may be sent to the server: always once the server is warm, otherwise while this
     * instance's part of the budget lasts. The budget accumulates, in milliseconds of work, since the
     * server was first considered; trials and hedges count against it. An instance starts with a random
     * debt of up to one request. Otherwise hundreds of instances, each with a part of less than one
     * request, would all send one at the same time and exceed the total budget.
     */
    boolean allows(ServerState server, PendingRequest request) {
        double capacity = guaranteedCapacity(server);
        if (capacity >= 1) {
            server.slowStartUpdatedAtMs = 0;
            return true;
        }
        double minShare = MIN_SERVER_CORES / Math.max(1, settings.replicaCount());
        double workPerMs = settings.safety().slowStartOverloadFactor()
                * capacity
                * Math.max(WARM_RATE_FRACTION * warmRate.value, minShare);
        if (server.slowStartUpdatedAtMs == 0) {
            server.slowStartUpdatedAtMs = step.nowMs();
            server.slowStartBalanceMs = -random.nextDouble() * request.stats.work.value;
        }
        double maxBalanceMs = workPerMs * settings.safety().slowStartOverloadMs() / 2;
        double earnedMs = workPerMs * (step.nowMs() - server.slowStartUpdatedAtMs);
        server.slowStartBalanceMs = Math.min(maxBalanceMs, server.slowStartBalanceMs + earnedMs);
        server.slowStartUpdatedAtMs = step.nowMs();
        return server.isInWorkingSet && server.slowStartBalanceMs >= 0;
    }

    /**
     * Deducts the work sent to a server that is warming up from its budget; work sent to warm servers sets
     * the rate at which budgets grow.
     */
    void recordSend(ServerState server, double workMs, List<ServerState> workingServers) {
        if (guaranteedCapacity(server) < 1) {
            server.slowStartBalanceMs -= workMs;
            return;
        }
        int warm = 0;
        for (ServerState other : workingServers) {
            warm += isWarm(other) ? 1 : 0;
        }
        warmRate.add(step.nowMs(), workMs / RATE_TIME_CONSTANT_MS / Math.max(1, warm));
    }
}
