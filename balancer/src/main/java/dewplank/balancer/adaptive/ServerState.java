package dewplank.balancer.adaptive;

import dewplank.balancer.Endpoint;
import dewplank.balancer.health.ServerHealth;
import java.util.LinkedHashSet;

/**
 * A server as listed, and what this instance knows of it. Each group of figures belongs to one of the
 * decisions.
 */
final class ServerState {
    final String id;
    /** Where it stands in this instance's own order of servers. */
    final long spreadOrder;

    // EndpointTable
    Endpoint endpoint;
    ZoneStats zone;
    boolean isLocal;
    boolean isGone;
    boolean wasDraining;

    // WorkingSet
    boolean isEjected;
    boolean isInWorkingSet;

    // OutcomeMonitor
    final ServerHealth health = new ServerHealth();
    int suspicions;
    double suspectSinceMs;
    double lastSuspicionAtMs;

    // EjectionTrials
    double lastTrialAtMs = Double.NEGATIVE_INFINITY;
    double lastHealthCheckAtMs = Double.NEGATIVE_INFINITY;
    boolean passedLastHealthCheck = true;

    // ServerBackoff
    double backoffFromMs;
    double backoffUntilMs;
    double nextBackoffMs;

    // LatencyEstimates
    final RunningMean recentElapsed = new RunningMean(0);
    final RunningMean lastingElapsed = new RunningMean(0);
    double usualLoad = 1;
    double lastSampleAtMs;
    double lastServedSentAtMs = Double.NEGATIVE_INFINITY;

    // Connections and attempts
    final LinkedHashSet<Attempt> inFlight = new LinkedHashSet<>();
    int connections;
    double lastUseAtMs;

    // SlowStartBudget
    double slowStartCountedAtMs;
    double slowStartSavedMs;

    ServerState(String id, long spreadOrder) {
        this.id = id;
        this.spreadOrder = spreadOrder;
    }
}
