package dewplank.balancer.adaptive;

import dewplank.balancer.Endpoint;
import dewplank.balancer.health.ServerHealth;
import java.util.LinkedHashSet;

/**
 * A server's entry in the endpoint list, and this instance's state for it. Each group of fields belongs to
 * one of the decision classes.
 */
final class ServerState {
    final String id;
    /** The server's position in this instance's order of servers. */
    final long subsettingOrder;

    // EndpointTable
    Endpoint endpoint;
    ZoneStats zone;
    boolean isLocal;
    boolean isRemoved;
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
    double backoffStartedAtMs;
    double backoffUntilMs;
    double nextBackoffMs;

    // LatencyEstimates
    final RunningMean recentElapsed = new RunningMean(0);
    final RunningMean longTermElapsed = new RunningMean(0);
    double typicalLoad = 1;
    double lastSampleAtMs;
    double lastServedSentAtMs = Double.NEGATIVE_INFINITY;

    // Connections and attempts
    final LinkedHashSet<Attempt> inFlight = new LinkedHashSet<>();
    int connections;
    double lastUseAtMs;

    // SlowStartBudget
    double slowStartUpdatedAtMs;
    double slowStartBalanceMs;

    ServerState(String id, long subsettingOrder) {
        this.id = id;
        this.subsettingOrder = subsettingOrder;
    }
}
