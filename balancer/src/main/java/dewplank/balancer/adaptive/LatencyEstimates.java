package dewplank.balancer.adaptive;

import dewplank.balancer.Settings;

/** What servers take: learned from their answers, and expected of the next request by what they hold. */
final class LatencyEstimates {
    /** Of the fleet's figures: each follows a sample so far. */
    static final double FLEET_STEP = 0.02;
    /** Of a zone's least time: it rises so far with each sample. */
    static final double ZONE_STEP = 0.05;
    /** Of what connecting takes, and of how often it fails. */
    static final double CONNECT_STEP = 0.1;
    /** Recent slowness of a server is forgotten at this time scale. */
    static final double RECENT_TIME_CONSTANT_MS = 1_000;
    /** The fleet's recent time over its idle time follows at this scale, or by samples. */
    static final double FLEET_TIME_CONSTANT_MS = 1_000;

    private static final int MAX_SUSPICIONS_AS_LOAD = 5;
    private static final double SUSPICION_LASTS_MS = 1_000; // without a new one; a verdict is what lasts
    private static final double OVERDUE_DEVIATIONS = 4; // mean deviations over the fleet's usual time
    private static final double MIN_OVERDUE_FACTOR = 2.5; // usual times
    private static final double MAX_OVERDUE_TARGET_SHARE = 0.5; // of the latency target
    private static final double RECENT_STEP = 0.3;
    private static final double LASTING_STEP = 0.05;
    private static final double USUAL_STEP = 0.005; // slower, lest a change counts twice
    private static final double LASTING_TIME_CONSTANT_MS = 5_000;
    private static final double IDLE_STEP = 0.01; // of an average whose least is the idle time
    private static final int MIN_IDLE_SAMPLES = 20; // answers before it replaces the first guess
    private static final double MAX_IDLE_SHARE = 0.8; // of the target that a class may take in an idle fleet
    private static final double IDLE_TIME_CONSTANT_MS = 60_000; // the idle time rises at this
    private static final double CACHED_KEY_FACTOR = 0.6; // of the time elsewhere: servers do 26 to 68 % less
    private static final double MAX_LATENESS = 2;
    private static final double MIN_MS = 1e-3; // keeps quotients finite

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

    // ---- learned from answers ----

    /** An attempt was served, or its stream started, after this time. */
    void recordAnswer(Attempt attempt, double elapsedMs) {
        fleet.lastAnswerAtMs = step.nowMs();
        PendingRequest request = attempt.request;
        ServerState server = attempt.server;
        if (attempt.opensConnection) { // the connection's time is not the server's
            double expectedMs = slowdown(server) / slowStart.expectedCapacity(server) * usualMs(request);
            double extraMs = Math.max(0, elapsedMs - expectedMs);
            fleet.connectMs += (extraMs - fleet.connectMs) * CONNECT_STEP;
            return;
        }
        if (slowStart.isWarm(server)) {
            recordClassTime(request.stats, Math.max(0, elapsedMs - extraNetworkMs(server)));
        }
        double ratio = elapsedMs / usualMs(request);
        recordUsualTime(request, elapsedMs);
        fleet.slowdownDeviation += (Math.abs(ratio - fleet.slowdown) - fleet.slowdownDeviation) * FLEET_STEP;
        fleet.slowdown += (ratio - fleet.slowdown) * FLEET_STEP;
        // In usual times: a change of the usual must not count twice.
        double normalizedMs = ratio * slowStart.expectedCapacity(server) * fleet.elapsed.value;
        recordZoneTime(server.zone, elapsedMs);
        recordServerTime(server, normalizedMs);
        server.usualLoad += (attempt.loadAtSend - server.usualLoad) * RECENT_STEP;
    }

    private void recordUsualTime(PendingRequest request, double elapsedMs) {
        fleet.elapsed.add(elapsedMs, USUAL_STEP);
        if (request.costMs == null) {
            request.stats.work.add(elapsedMs, USUAL_STEP);
        } else {
            double usualStep = Math.max(1.0 / fleet.elapsed.count, USUAL_STEP);
            fleet.elapsedByCost.add(request.costMs, elapsedMs, usualStep);
        }
    }

    private static void recordZoneTime(ZoneStats zone, double elapsedMs) {
        double risenMs = zone.minElapsedMs + (elapsedMs - zone.minElapsedMs) * ZONE_STEP;
        zone.minElapsedMs = zone.minElapsedMs == 0 ? elapsedMs : Math.min(elapsedMs, risenMs);
    }

    /** Each class by its own idle time: more of a slow class among the answers is no slower fleet. */
    private void recordClassTime(ClassStats stats, double elapsedMs) {
        double sinceMs = stats.lastAnswerAtMs == 0 ? 0 : step.nowMs() - stats.lastAnswerAtMs;
        stats.elapsed.add(elapsedMs, IDLE_STEP);
        double riseShare = 1 - Math.exp(-sinceMs / IDLE_TIME_CONSTANT_MS);
        double risenMs = (stats.elapsed.value - stats.idleElapsedMs) * riseShare;
        double leastMs = Math.min(stats.elapsed.value, stats.idleElapsedMs + risenMs);
        if (stats.elapsed.count >= MIN_IDLE_SAMPLES) {
            double idleMs = stats.elapsed.count == MIN_IDLE_SAMPLES ? stats.elapsed.value : leastMs;
            stats.idleElapsedMs = Math.max(MIN_MS, idleMs);
        }
        stats.lastAnswerAtMs = step.nowMs();
        double sinceAnyMs = fleet.lastWarmAnswerAtMs == 0 ? 0 : step.nowMs() - fleet.lastWarmAnswerAtMs;
        double fleetStep = Math.max(FLEET_STEP, 1 - Math.exp(-sinceAnyMs / FLEET_TIME_CONSTANT_MS));
        fleet.timesOverIdle += (elapsedMs / stats.idleElapsedMs - fleet.timesOverIdle) * fleetStep;
        fleet.lastWarmAnswerAtMs = step.nowMs();
    }

    /**
     * No answer for so long: this server's time was that much at least. Guards against a server that answers
     * after its callers' time: by answers alone it looks as quick as the few that came, to each of many.
     */
    void recordTimeout(Attempt attempt, double elapsedMs) {
        ServerState server = attempt.server;
        double ratio = elapsedMs / usualMs(attempt.request);
        double normalizedMs = ratio * slowStart.expectedCapacity(server) * fleet.elapsed.value;
        if (fleet.elapsed.count > 0 && normalizedMs > slowdown(server) * fleet.elapsed.value) {
            recordServerTime(server, normalizedMs);
        }
    }

    /** An attempt is overdue: the way to its zone may have become longer. */
    void recordOverdue(Attempt attempt) {
        ZoneStats zone = attempt.server.zone;
        double extraMs = Math.max(0, step.nowMs() - attempt.sentAtMs - zone.minElapsedMs);
        zone.minElapsedMs += extraMs * ZONE_STEP;
    }

    /** A connection attempt came to its end. */
    void recordConnect(boolean hasFailed) {
        fleet.connectFailureShare += ((hasFailed ? 1 : 0) - fleet.connectFailureShare) * CONNECT_STEP;
    }

    private void recordServerTime(ServerState server, double normalizedMs) {
        server.lastingElapsed.add(normalizedMs, LASTING_STEP);
        server.recentElapsed.add(normalizedMs, RECENT_STEP);
        server.lastSampleAtMs = step.nowMs();
    }

    // ---- expected of the next request ----

    /** What such a request usually takes in this fleet: a fixed part and a part that grows with its work. */
    double usualMs(PendingRequest request) {
        if (request.costMs == null || fleet.elapsed.count == 0) {
            return Math.max(MIN_MS, request.stats.work.value);
        }
        double meanCostMs = fleet.elapsedByCost.meanX;
        double maxSlope = fleet.elapsed.value / meanCostMs;
        double slope = Math.max(0, Math.min(fleet.elapsedByCost.slope(fleet.elapsed.value), maxSlope));
        return Math.max(MIN_MS, fleet.elapsed.value + slope * (request.costMs - meanCostMs));
    }

    /** The time there over the usual: recent at first, then lasting, then no more than the usual. */
    private double slowdown(ServerState server) {
        if (server.lastingElapsed.count == 0) {
            return fleet.slowdown;
        }
        double minusAgeMs = server.lastSampleAtMs - step.nowMs();
        double slowMs = server.lastingElapsed.value;
        double usualMs = fleet.elapsed.value;
        double lastingMs = usualMs + (slowMs - usualMs) * Math.exp(minusAgeMs / LASTING_TIME_CONSTANT_MS);
        double recency = Math.exp(minusAgeMs / RECENT_TIME_CONSTANT_MS);
        double recentMs = (server.recentElapsed.value - slowMs) * recency;
        return (lastingMs + recentMs) / Math.max(MIN_MS, usualMs);
    }

    /** Whether there was an unhealthy outcome since the last success. It lapses: a verdict is what lasts. */
    boolean isSuspect(ServerState server) {
        if (step.nowMs() - server.lastSuspicionAtMs > SUSPICION_LASTS_MS) {
            server.suspicions = 0;
        }
        return server.suspicions > 0;
    }

    /** Whether the server's latest time is recent enough to tell its queue. */
    boolean hasRecentSample(ServerState server) {
        return step.nowMs() - server.lastSampleAtMs < RECENT_TIME_CONSTANT_MS;
    }

    /** Own requests in flight, and those that may still be stuck there. */
    int load(ServerState server) {
        int stuck = isSuspect(server) ? Math.min(server.suspicions, MAX_SUSPICIONS_AS_LOAD) : 0;
        return server.inFlight.size() + stuck;
    }

    /** Whether an attempt there now would have to wait for a new connection. */
    boolean needsConnection(ServerState server) {
        boolean isIdle = server.inFlight.isEmpty()
                && step.nowMs() - server.lastUseAtMs > settings.limits().idleTimeoutMs();
        if (isIdle) {
            server.connections = 0;
        }
        return server.inFlight.size() >= server.connections * settings.limits().maxStreamsPerConnection();
    }

    /** The time the request would likely take there, by learned speed, own load and what is overdue. */
    double predictedMs(ServerState server, PendingRequest request) {
        double keyFactor = server == request.cachingServer ? CACHED_KEY_FACTOR : 1;
        double timeMs = slowdown(server)
                / slowStart.expectedCapacity(server)
                * usualMs(request)
                * keyFactor
                * (2 + load(server))
                / (2 + server.usualLoad);
        for (Attempt attempt : server.inFlight) { // by age: the oldest tells, unless it is stuck by itself
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
     * What the network takes to its zone beyond what it takes within the own one, by the least times seen
     * lately. Guards against a slow link being read as a queue there: rejecting does not shorten a link.
     */
    double extraNetworkMs(ServerState server) {
        ZoneStats own = fleet.zones.get(settings.zone());
        boolean isUnknown = own == null || own.minElapsedMs == 0;
        return server.isLocal || isUnknown ? 0 : Math.max(0, server.zone.minElapsedMs - own.minElapsedMs);
    }

    /**
     * Likely lateness there by queues: the predicted time as a part of the target, the network taken off
     * both.
     */
    double predictedLateness(ServerState server, PendingRequest request) {
        double networkMs = extraNetworkMs(server);
        double leftMs = request.targetAtMs() - step.nowMs() - networkMs;
        return leftMs <= 0
                ? MAX_LATENESS
                : Math.min(MAX_LATENESS, Math.max(0, predictedMs(server, request) - networkMs) / leftMs);
    }

    /**
     * Of the time that the target leaves above the class's idle time, the part that queues take. Guards
     * against rejecting in a calm fleet whose idle times are a larger part of its targets than elsewhere.
     */
    double queueShare(ServerState server, PendingRequest request) {
        double targetMs = Math.max(MIN_MS, request.targetMs() - extraNetworkMs(server));
        double idleShare = Math.min(MAX_IDLE_SHARE, request.stats.idleElapsedMs / targetMs);
        return Math.max(0, (predictedLateness(server, request) - idleShare) / (1 - idleShare));
    }

    /** After this time an attempt there is unusually late. */
    double overdueAfterMs(PendingRequest request, ServerState server) {
        double usualMs = usualMs(request) / slowStart.expectedCapacity(server);
        double leastMs = MIN_OVERDUE_FACTOR * fleet.slowdown * usualMs;
        double mostMs = Math.max(leastMs, MAX_OVERDUE_TARGET_SHARE * request.targetMs());
        double spreadMs = usualMs * (fleet.slowdown + OVERDUE_DEVIATIONS * fleet.slowdownDeviation);
        return Math.min(mostMs, Math.max(leastMs, spreadMs)) + extraNetworkMs(server);
    }
}
