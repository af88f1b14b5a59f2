package dewplank.balancer.adaptive;

import dewplank.balancer.Settings;
import dewplank.balancer.Settings.Goal;

/**
 * Determines what fraction of the traffic to reject early, least valuable requests first, as queueing
 * brings latency close to the target. An overloaded fleet that serves every request serves all of them late
 * ("Overload Control for Scaling WeChat Microservices", SoCC '18).
 */
final class LoadShedder {
    // The fraction to reject rises linearly from 0 at the low threshold to 1 at the high one.
    private static final double LOW_LATENESS = 0.4; // predicted time as a fraction of the target
    private static final double HIGH_LATENESS = 0.9;
    // A server's response time is twice its idle time once as many requests wait as run. Sending it more
    // requests increases only its latency, not its throughput, and keeps it overloaded for long. A fleet
    // that is this slow sheds load early, according to its average lateness.
    private static final double LOW_SLOWDOWN = 1; // ratio of the fleet's time to its idle time
    private static final double HIGH_SLOWDOWN = 2;
    private static final double LOW_QUEUE_FRACTION = 0.06; // mean fraction of the target spent in queues
    private static final double HIGH_QUEUE_FRACTION = 0.35; // at which one response in ten is late
    private static final double QUEUE_ALPHA = 0.05; // smoothing factor: averages over 20 requests
    private static final double MAX_SAMPLE = 2; // upper bound of a queue fraction in the mean

    /** Mean queue fraction above which the fleet is overloaded; 0.12 performs worse. */
    private static final double OVERLOAD_QUEUE_FRACTION = 0.09;

    private static final double OVERLOAD_TIME_CONSTANT_MS = 1_000;
    private static final double MAX_SAMPLE_GAP_MS = 100; // longer gaps between requests count as this

    /** Upper bound of the fraction rejected for sustained overload, and of the fraction rejected early. */
    private static final double MAX_OVERLOAD_FRACTION = 0.7;

    private final Step step;
    private final FleetStats fleet;
    private final LatencyEstimates latency;
    /**
     * Factor on the lateness thresholds; below 1 if the goal has a tail weight, because an early rejection
     * is then better than a late response.
     */
    private final double lateTolerance;

    private double meanQueueFraction;
    private double lastQueueSampleAtMs;
    private double sustainedOverload;

    LoadShedder(Settings settings, Step step, FleetStats fleet, LatencyEstimates latency) {
        this.step = step;
        this.fleet = fleet;
        this.latency = latency;
        Goal goal = settings.goal();
        this.lateTolerance = 1 - goal.tail() / Math.max(1e-9, goal.all() + goal.worstClass() + goal.tail());
    }

    /**
     * The fraction of traffic to reject, least valuable first, given the predicted latency of this server.
     * While the fleet is slower than when idle, rejections start earlier: otherwise each of many instances
     * would wait until its own responses are late. A negative value offsets the fraction for sustained
     * overload.
     */
    double rejectionFraction(PendingRequest request, ServerState server) {
        double lateness = latency.predictedLateness(server, request) / lateTolerance;
        double negativeAgeMs = fleet.lastWarmSampleAtMs - step.nowMs();
        double freshness = StrictMath.exp(negativeAgeMs / LatencyEstimates.FLEET_TIME_CONSTANT_MS);
        double slowdown = 1 + (fleet.slowdownOverIdle - 1) * freshness;
        double slowdownFraction = (slowdown - LOW_SLOWDOWN) / (HIGH_SLOWDOWN - LOW_SLOWDOWN);
        double queues = Math.min(latency.queueFraction(server, request), meanQueueFraction) / lateTolerance;
        double queueingFraction = (queues - LOW_QUEUE_FRACTION) / (HIGH_QUEUE_FRACTION - LOW_QUEUE_FRACTION);
        double earlyFraction = Math.min(MAX_OVERLOAD_FRACTION, Math.min(slowdownFraction, queueingFraction));
        double latenessFraction = (lateness - LOW_LATENESS) / (HIGH_LATENESS - LOW_LATENESS);
        return earlyFraction > 0 ? Math.max(earlyFraction, latenessFraction) : latenessFraction;
    }

    /**
     * The additional fraction to reject because of sustained overload, at a server whose queue consumes
     * this fraction of the target.
     */
    double sustainedRejectionFraction(double queueFraction) {
        double minusAgeMs = fleet.lastResponseAtMs - step.nowMs();
        double freshness = StrictMath.exp(minusAgeMs / OVERLOAD_TIME_CONSTANT_MS);
        return sustainedOverload * freshness * Math.min(1, queueFraction / OVERLOAD_QUEUE_FRACTION);
    }

    /**
     * Records the shortest queue among the servers that responded recently. Sustained lateness increases
     * the fraction rejected until queues are short again. Guards against servers whose throughput falls
     * under load: a fraction that only follows the current lateness would leave them overloaded
     * permanently. As long as one server has capacity, requests are routed to it rather than rejected.
     */
    void recordShortestQueue(double queueFraction) {
        meanQueueFraction += (Math.min(MAX_SAMPLE, queueFraction) - meanQueueFraction) * QUEUE_ALPHA;
        double gapMs = Math.min(MAX_SAMPLE_GAP_MS, step.nowMs() - lastQueueSampleAtMs);
        lastQueueSampleAtMs = step.nowMs();
        double change = (meanQueueFraction - OVERLOAD_QUEUE_FRACTION) * gapMs / OVERLOAD_TIME_CONSTANT_MS;
        sustainedOverload = Math.max(0, Math.min(MAX_OVERLOAD_FRACTION, sustainedOverload + change));
    }
}
