package dewplank.balancer.adaptive;

import dewplank.balancer.Settings;
import java.util.List;
import java.util.random.RandomGenerator;

/**
 * Slow start: the capacity that a server has at its age, and this instance's part of the work that servers
 * still warming up may be sent.
 */
final class SlowStartBudget {
    private static final double SHARE_OF_USUAL_RATE = 0.6; // of this instance's usual rate to a warm server
    private static final double MIN_SERVER_CORES = 0.25; // standard cores that even the smallest server has
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

    /** The share of its capacity that a server surely has by now; 1 once it is warm. */
    double guaranteedCapacity(ServerState server) {
        Double startedAtMs = server.endpoint.startedAtMs();
        double slowStartMs = settings.safety().slowStartMs();
        if (startedAtMs == null || startedAtMs <= 0 || slowStartMs <= 0) {
            return 1;
        }
        double age = Math.max(0, step.nowMs() - startedAtMs) / slowStartMs;
        double initialShare = settings.safety().slowStartInitialShare();
        return Math.min(1, initialShare + (1 - initialShare) * age);
    }

    boolean isWarm(ServerState server) {
        return guaranteedCapacity(server) >= 1;
    }

    /**
     * The share that it is expected to have: the geometric mean of what it surely has and all. By the
     * guaranteed share, on which the budget rests, an overloaded fleet would leave its newcomers idle.
     */
    double expectedCapacity(ServerState server) {
        return Math.sqrt(guaranteedCapacity(server));
    }

    /**
     * Whether the server may be sent the request: always once it is warm, else while this instance's part of
     * the stated budget lasts, as work saved up since the server's start; trials and hedges count. A part of
     * less than one request starts with a debt drawn at random: of hundreds of instances only so many send at
     * once as the budget bears, instead of one request each.
     */
    boolean allows(ServerState server, PendingRequest request) {
        double capacity = guaranteedCapacity(server);
        if (capacity >= 1) {
            server.slowStartCountedAtMs = 0;
            return true;
        }
        double minShare = MIN_SERVER_CORES / Math.max(1, settings.replicaCount());
        double workPerMs = settings.safety().slowStartOverloadFactor()
                * capacity
                * Math.max(SHARE_OF_USUAL_RATE * warmRate.value, minShare);
        if (server.slowStartCountedAtMs == 0) {
            server.slowStartCountedAtMs = step.nowMs();
            server.slowStartSavedMs = -random.nextDouble() * request.stats.work.value;
        }
        double maxSavedMs = workPerMs * settings.safety().slowStartOverloadMs() / 2;
        double earnedMs = workPerMs * (step.nowMs() - server.slowStartCountedAtMs);
        server.slowStartSavedMs = Math.min(maxSavedMs, server.slowStartSavedMs + earnedMs);
        server.slowStartCountedAtMs = step.nowMs();
        return server.isInWorkingSet && server.slowStartSavedMs >= 0;
    }

    /** Takes what is sent to a server warming up off its budget; what warm ones get sets the pace of that. */
    void recordSend(ServerState server, double workMs, List<ServerState> workingServers) {
        if (guaranteedCapacity(server) < 1) {
            server.slowStartSavedMs -= workMs;
            return;
        }
        int warm = 0;
        for (ServerState other : workingServers) {
            warm += isWarm(other) ? 1 : 0;
        }
        warmRate.add(step.nowMs(), workMs / RATE_TIME_CONSTANT_MS / Math.max(1, warm));
    }
}
