package dewplank.balancer.adaptive;

import dewplank.balancer.Settings;

/**
 * Estimates how long servers take to respond, from the responses received so far, and predicts the latency
 * of the next request from a server's load.
 */
final class LatencyEstimates {
    /** Smoothing factor (weight of a new sample) of the fleet's moving averages. */
    static final double FLEET_ALPHA = 0.02;
    /** Fraction by which a zone's minimum response time rises towards each larger sample. */
    static final double ZONE_ALPHA = 0.05;
    /** Smoothing factor of the connection time and the connection failure rate. */
    static final double CONNECT_ALPHA = 0.1;
    /** Time constant with which a server's recent slowness decays. */
    static final double RECENT_TIME_CONSTANT_MS = 1_000;
    /** Time constant of the fleet's recent slowdown over its idle time, if samples are sparse. */
    static final double FLEET_TIME_CONSTANT_MS = 1_000;

    private static final int MAX_SUSPICION_LOAD = 5; // upper bound of the load that suspicions add

    /** Time after which a suspicion expires; only an ejection lasts longer. */
    private static final double SUSPICION_TIMEOUT_MS = 1_000;

    private static final double OVERDUE_DEVIATIONS = 4; // mean deviations above the fleet's slowdown
    private static final double MIN_OVERDUE_FACTOR = 2.5; // multiple of the typical time
    private static final double MAX_OVERDUE_TARGET_FRACTION = 0.5; // of the latency target
    private static final double RECENT_ALPHA = 0.3; // smoothing factor of a server's recent averages
    private static final double LONG_TERM_ALPHA = 0.05; // smoothing factor of its long-term average

    /** Smoothing factor of the typical time; small, so that a change is not counted twice. */
    private static final double TYPICAL_ALPHA = 0.005;

    private static final double LONG_TERM_DECAY_MS = 5_000;

    /** Smoothing factor of a class's mean response time, whose minimum is its idle time. */
    private static final double IDLE_ALPHA = 0.01;

    /** Number of samples after which their mean replaces the initial estimate of the idle time. */
    private static final int MIN_IDLE_SAMPLES = 20;

    private static final double MAX_IDLE_FRACTION = 0.8; // upper bound of idle time over latency target
    private static final double IDLE_TIME_CONSTANT_MS = 60_000; // of the idle time's rise to the mean

    /** Factor on the predicted time if the key is cached, which saves a server 26 to 68 % of the work. */
    private static final double CACHED_KEY_FACTOR = 0.6;

    private static final double MAX_LATENESS = 2;
    private static final double MIN_MS = 1e-3; // avoids division by zero

    private final Settings settings;
    private final Step step;
    private final FleetStats fleet;
    private final SlowStartBudget slowStart;

    LatencyEstimates(Settings settings, Step step, FleetStats fleet, SlowStartBudget slowStart) {
        this.settings = settings;
        this.step = step;
        this.fleet = fleet;
        this.slowStart = slowStart;
    }

    // ---- estimates from responses ----

    /** Records that an attempt was served, or that its stream started, after the elapsed time. */
    void recordResponse(Attempt attempt, double elapsedMs) {
        fleet.lastResponseAtMs = step.nowMs();
        PendingRequest request = attempt.request;
        ServerState server = attempt.server;
        if (attempt.opensConnection) { // the connection time does not count as response time
            double expectedMs = slowdown(server) / slowStart.expectedCapacity(server) * typicalMs(request);
            double extraMs = Math.max(0, elapsedMs - expectedMs);
            fleet.connectMs += (extraMs - fleet.connectMs) * CONNECT_ALPHA;
            return;
        }
        if (slowStart.isWarm(server)) {
            recordClassTime(request.stats, Math.max(0, elapsedMs - extraNetworkMs(server)));
        }
        double ratio = elapsedMs / typicalMs(request);
        recordTypicalTime(request, elapsedMs);
        fleet.slowdownDeviation += (Math.abs(ratio - fleet.slowdown) - fleet.slowdownDeviation) * FLEET_ALPHA;
        fleet.slowdown += (ratio - fleet.slowdown) * FLEET_ALPHA;
        // Relative to the typical time, so that a change of the typical time is not counted twice.
        double normalizedMs = ratio * slowStart.expectedCapacity(server) * fleet.elapsed.value;
        recordZoneTime(server.zone, elapsedMs);
        recordServerTime(server, normalizedMs);
        server.typicalLoad += (attempt.loadAtSend - server.typicalLoad) * RECENT_ALPHA;
    }

    private void recordTypicalTime(PendingRequest request, double elapsedMs) {
        fleet.elapsed.add(elapsedMs, TYPICAL_ALPHA);
        if (request.costMs == null) {
            request.stats.work.add(elapsedMs, TYPICAL_ALPHA);
        } else {
            double typicalAlpha = Math.max(1.0 / fleet.elapsed.count, TYPICAL_ALPHA);
            fleet.elapsedByCost.add(request.costMs, elapsedMs, typicalAlpha);
        }
    }

    private static void recordZoneTime(ZoneStats zone, double elapsedMs) {
        double raisedMs = zone.minElapsedMs + (elapsedMs - zone.minElapsedMs) * ZONE_ALPHA;
        zone.minElapsedMs = zone.minElapsedMs == 0 ? elapsedMs : Math.min(elapsedMs, raisedMs);
    }

    /**
     * Compares each class with its own idle time: a larger proportion of requests of a slow class does not
     * mean that the fleet is slower.
     */
    private void recordClassTime(ClassStats stats, double elapsedMs) {
        double sinceLastMs = stats.lastResponseAtMs == 0 ? 0 : step.nowMs() - stats.lastResponseAtMs;
        stats.elapsed.add(elapsedMs, IDLE_ALPHA);
        double riseFraction = 1 - StrictMath.exp(-sinceLastMs / IDLE_TIME_CONSTANT_MS);
        double raisedMs = (stats.elapsed.value - stats.idleElapsedMs) * riseFraction;
        double minMs = Math.min(stats.elapsed.value, stats.idleElapsedMs + raisedMs);
        if (stats.elapsed.count >= MIN_IDLE_SAMPLES) {
            double idleMs = stats.elapsed.count == MIN_IDLE_SAMPLES ? stats.elapsed.value : minMs;
            stats.idleElapsedMs = Math.max(MIN_MS, idleMs);
        }
        stats.lastResponseAtMs = step.nowMs();
        double sinceWarmMs = fleet.lastWarmSampleAtMs == 0 ? 0 : step.nowMs() - fleet.lastWarmSampleAtMs;
        double fleetAlpha = Math.max(FLEET_ALPHA, 1 - StrictMath.exp(-sinceWarmMs / FLEET_TIME_CONSTANT_MS));
        fleet.slowdownOverIdle += (elapsedMs / stats.idleElapsedMs - fleet.slowdownOverIdle) * fleetAlpha;
        fleet.lastWarmSampleAtMs = step.nowMs();
    }

    /**
     * Records that a server did not respond within the elapsed time, as a lower bound of its response time.
     * Guards against a server that responds to most requests only after the timeout: from its responses
     * alone, each of many instances would estimate it to be as fast as the few that arrive in time.
     */
    void recordTimeout(Attempt attempt, double elapsedMs) {
        ServerState server = attempt.server;
        double ratio = elapsedMs / typicalMs(attempt.request);
        double normalizedMs = ratio * slowStart.expectedCapacity(server) * fleet.elapsed.value;
        if (fleet.elapsed.count > 0 && normalizedMs > slowdown(server) * fleet.elapsed.value) {
            recordServerTime(server, normalizedMs);
        }
    }

    /** Records that an attempt is overdue: the network latency to its zone may have increased. */
    void recordOverdue(Attempt attempt) {
        ZoneStats zone = attempt.server.zone;
        double extraMs = Math.max(0, step.nowMs() - attempt.sentAtMs - zone.minElapsedMs);
        zone.minElapsedMs += extraMs * ZONE_ALPHA;
    }

    /** Records the result of a connection attempt. */
    void recordConnect(boolean hasFailed) {
        fleet.connectFailureFraction += ((hasFailed ? 1 : 0) - fleet.connectFailureFraction) * CONNECT_ALPHA;
    }

    private void recordServerTime(ServerState server, double normalizedMs) {
        server.longTermElapsed.add(normalizedMs, LONG_TERM_ALPHA);
        server.recentElapsed.add(normalizedMs, RECENT_ALPHA);
        server.lastSampleAtMs = step.nowMs();
    }

    // ---- predictions for the next request ----

    /**
     * The typical response time of such a request in this fleet: a fixed part, and a part proportional to
     * its work.
     */
    double typicalMs(PendingRequest request) {
        if (request.costMs == null || fleet.elapsed.count == 0) {
            return Math.max(MIN_MS, request.stats.work.value);
        }
        double meanCostMs = fleet.elapsedByCost.meanX;
        double maxSlope = fleet.elapsed.value / meanCostMs;
        double slope = Math.max(0, Math.min(fleet.elapsedByCost.slope(fleet.elapsed.value), maxSlope));
        return Math.max(MIN_MS, fleet.elapsed.value + slope * (request.costMs - meanCostMs));
    }

    /**
     * The ratio of the server's response time to the typical time. It decays from the recent to the long-term
     * average, and from that to 1.
     */
    private double slowdown(ServerState server) {
        if (server.longTermElapsed.count == 0) {
            return fleet.slowdown;
        }
        double minusAgeMs = server.lastSampleAtMs - step.nowMs();
        double slowMs = server.longTermElapsed.value;
        double typicalMs = fleet.elapsed.value;
        double longTermFraction = StrictMath.exp(minusAgeMs / LONG_TERM_DECAY_MS);
        double longTermMs = typicalMs + (slowMs - typicalMs) * longTermFraction;
        double recency = StrictMath.exp(minusAgeMs / RECENT_TIME_CONSTANT_MS);
        double recentMs = (server.recentElapsed.value - slowMs) * recency;
        return (longTermMs + recentMs) / Math.max(MIN_MS, typicalMs);
    }

    /**
     * Whether the server had an unhealthy outcome since its last success. The suspicion expires; only
     * ejection lasts longer.
     */
    boolean isSuspect(ServerState server) {
        if (step.nowMs() - server.lastSuspicionAtMs > SUSPICION_TIMEOUT_MS) {
            server.suspicions = 0;
        }
        return server.suspicions > 0;
    }

    /** Whether the server's latest response time is recent enough to indicate the length of its queue. */
    boolean hasRecentSample(ServerState server) {
        return step.nowMs() - server.lastSampleAtMs < RECENT_TIME_CONSTANT_MS;
    }

    /** This instance's requests in flight at the server, plus those that may still hang there. */
    int load(ServerState server) {
        int hung = isSuspect(server) ? Math.min(server.suspicions, MAX_SUSPICION_LOAD) : 0;
        return server.inFlight.size() + hung;
    }

    /** Whether an attempt at the server now would have to wait for a new connection. */
    boolean needsConnection(ServerState server) {
        boolean isIdle = server.inFlight.isEmpty()
                && step.nowMs() - server.lastUseAtMs > settings.limits().idleTimeoutMs();
        if (isIdle) {
            server.connections = 0;
        }
        return server.inFlight.size() >= server.connections * settings.limits().maxStreamsPerConnection();
    }

    /**
     * The predicted response time of the request at the server, from the server's measured speed, its load
     * and the age of its attempts in flight.
     */
    double predictedMs(ServerState server, PendingRequest request) {
        double keyFactor = server == request.cachingServer ? CACHED_KEY_FACTOR : 1;
        double timeMs = slowdown(server)
                / slowStart.expectedCapacity(server)
                * typicalMs(request)
                * keyFactor
                * (2 + load(server))
                / (2 + server.typicalLoad);
        // The request takes at least as long as the oldest attempt in flight, not counting attempts that hang
        // while the server serves later ones.
        for (Attempt attempt : server.inFlight) {
            boolean isOvertaken = attempt.isOverdue && attempt.overdueAtMs <= server.lastServedSentAtMs;
            if (!isOvertaken) {
                timeMs = Math.max(timeMs, step.nowMs() - attempt.sentAtMs);
                break;
            }
        }
        timeMs += needsConnection(server) ? fleet.connectMs : 0;
        return isSuspect(server) ? Math.max(timeMs, step.nowMs() - server.suspectSinceMs) : timeMs;
    }

    /**
     * The network latency to the server's zone in excess of that within the local zone, from recent minimum
     * response times. Prevents a slow link from being mistaken for a queue: rejections do not make a link
     * faster.
     */
    double extraNetworkMs(ServerState server) {
        ZoneStats local = fleet.zones.get(settings.zone());
        boolean isUnknown = local == null || local.minElapsedMs == 0;
        return server.isLocal || isUnknown ? 0 : Math.max(0, server.zone.minElapsedMs - local.minElapsedMs);
    }

    /**
     * The predicted time at the server as a fraction of the remaining time to the latency target, with the
     * network latency subtracted from both. This is the lateness caused by queues.
     */
    double predictedLateness(ServerState server, PendingRequest request) {
        double networkMs = extraNetworkMs(server);
        double remainingMs = request.targetAtMs() - step.nowMs() - networkMs;
        return remainingMs <= 0
                ? MAX_LATENESS
                : Math.min(MAX_LATENESS, Math.max(0, predictedMs(server, request) - networkMs) / remainingMs);
    }

    /**
     * The fraction of the time between the class's idle time and its latency target that queues consume.
     * Prevents rejections in an idle fleet whose idle times are a large fraction of its targets.
     */
    double queueFraction(ServerState server, PendingRequest request) {
        double targetMs = Math.max(MIN_MS, request.targetMs() - extraNetworkMs(server));
        double idleFraction = Math.min(MAX_IDLE_FRACTION, request.stats.idleElapsedMs / targetMs);
        return Math.max(0, (predictedLateness(server, request) - idleFraction) / (1 - idleFraction));
    }

    /** The time after which an attempt at the server is overdue. */
    double overdueAfterMs(PendingRequest request, ServerState server) {
        double typicalMs = typicalMs(request) / slowStart.expectedCapacity(server);
        double minMs = MIN_OVERDUE_FACTOR * fleet.slowdown * typicalMs;
        double maxMs = Math.max(minMs, MAX_OVERDUE_TARGET_FRACTION * request.targetMs());
        double spreadMs = typicalMs * (fleet.slowdown + OVERDUE_DEVIATIONS * fleet.slowdownDeviation);
        return Math.min(maxMs, Math.max(minMs, spreadMs)) + extraNetworkMs(server);
    }
}
