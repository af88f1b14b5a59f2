package dewplank.balancer.adaptive;

import dewplank.balancer.Settings;
import dewplank.balancer.Settings.Goal;

/**
 * How much of the traffic to reject early, the least valuable first, as queues come near to missing the
 * latency target. An overloaded fleet that answers everything answers late ("Overload Control for Scaling
 * WeChat Microservices", SoCC '18).
 */
final class LoadShedder {
    private static final double LATENESS_FROM = 0.4; // predicted time over target that starts rejections
    private static final double LATENESS_FULL = 0.9; // and at which all that may be rejected is
    // A server takes twice its idle time once as much waits there as runs: sending it more brings no more
    // answers, only later ones, and crowds it for long. A fleet so slow sheds early, by averaged lateness.
    private static final double SLOWDOWN_FROM = 1; // fleet's time over its idle time
    private static final double SLOWDOWN_FULL = 2;
    private static final double QUEUE_SHARE_FROM = 0.06; // averaged part of the target in queues
    private static final double QUEUE_SHARE_FULL = 0.35; // at which one in ten is late
    private static final double PRESSURE_STEP = 0.05; // the fleet's lateness is averaged over 20 requests
    private static final double MAX_PRESSURE_SAMPLE = 2;
    private static final double SHORTAGE_FROM = 0.09; // pressure that is taken to last; 0.12 does worse
    private static final double SHORTAGE_TIME_CONSTANT_MS = 1_000;
    private static final double MAX_SHORTAGE_GAP_MS = 100; // of a gap between requests
    private static final double MAX_SHORTAGE = 0.7; // of traffic that lasting lateness alone rejects

    private final Step step;
    private final FleetStats fleet;
    private final LatencyEstimates latency;
    /** Where the goal has a tail, an early rejection is better than a late answer. */
    private final double strictness;

    private double pressure;
    private double pressureAtMs;
    private double shortage;

    LoadShedder(Settings settings, Step step, FleetStats fleet, LatencyEstimates latency) {
        this.step = step;
        this.fleet = fleet;
        this.latency = latency;
        Goal goal = settings.goal();
        this.strictness = 1 - goal.tail() / Math.max(1e-9, goal.all() + goal.worstClass() + goal.tail());
    }

    /**
     * The share of the least valuable traffic to reject, going by this server. While the whole fleet is
     * slower than when idle, it begins earlier: many instances would each wait for late answers. Below 0 it
     * offsets lasting lateness.
     */
    double rejectedShare(PendingRequest request, ServerState server) {
        double lateness = latency.predictedLateness(server, request) / strictness;
        double minusAgeMs = fleet.lastWarmAnswerAtMs - step.nowMs();
        double freshness = Math.exp(minusAgeMs / LatencyEstimates.FLEET_TIME_CONSTANT_MS);
        double slowdown = 1 + (fleet.timesOverIdle - 1) * freshness;
        double bySlowdown = (slowdown - SLOWDOWN_FROM) / (SLOWDOWN_FULL - SLOWDOWN_FROM);
        double queues = Math.min(latency.queueShare(server, request), pressure) / strictness;
        double byQueues = (queues - QUEUE_SHARE_FROM) / (QUEUE_SHARE_FULL - QUEUE_SHARE_FROM);
        double early = Math.min(MAX_SHORTAGE, Math.min(bySlowdown, byQueues));
        double byLateness = (lateness - LATENESS_FROM) / (LATENESS_FULL - LATENESS_FROM);
        return early > 0 ? Math.max(early, byLateness) : byLateness;
    }

    /**
     * The share to reject on top of that because lateness lasts, at a server with this part of the target in
     * its queue.
     */
    double lastingShare(double queueShare) {
        double freshness = Math.exp((fleet.lastAnswerAtMs - step.nowMs()) / SHORTAGE_TIME_CONSTANT_MS);
        return shortage * freshness * Math.min(1, queueShare / SHORTAGE_FROM);
    }

    /**
     * Takes the shortest queue among the servers that answered lately. Lateness that lasts adds to the share
     * rejected until queues are short again. Guards against servers that do less the more they hold: a share
     * that only follows lateness would leave them crowded for good. While one server has capacity, choose
     * rather than reject.
     */
    void recordShortestQueue(double queueShare) {
        pressure += (Math.min(MAX_PRESSURE_SAMPLE, queueShare) - pressure) * PRESSURE_STEP;
        double sinceMs = Math.min(MAX_SHORTAGE_GAP_MS, step.nowMs() - pressureAtMs);
        pressureAtMs = step.nowMs();
        double change = (pressure - SHORTAGE_FROM) * sinceMs / SHORTAGE_TIME_CONSTANT_MS;
        shortage = Math.max(0, Math.min(MAX_SHORTAGE, shortage + change));
    }
}
