package dewplank.balancer.adaptive;

import dewplank.balancer.Settings;

import dewplank.balancer.adaptive.Memory.*;

/** What servers take: learned from their answers, and expected of the next request by what they hold. */
record LatencyEstimates(Settings cfg, Fleet fleet, SlowStartBudget cold) {
    private static final int DOUBTS_MOST = 5;            // doubts since the last success, counted as load
    private static final double DOUBT_LASTS_MS = 1_000;  // without a new one; a verdict is what lasts
    private static final double OVERDUE_DEVIATIONS = 4;  // mean deviations over the fleet's usual time
    private static final double OVERDUE_LEAST = 2.5;     // and at least so many usual times
    private static final double OVERDUE_AIM_SHARE = 0.5; // never later than this share of the aim
    static final double CONNECT_STEP = 0.1;              // what connecting costs follows a sample so far
    private static final double FAST_STEP = 0.3;         // a server's recent slowness follows a sample so far
    private static final double LONG_STEP = 0.05;        // its lasting slowness
    static final double FLEET_STEP = 0.02;               // the fleet's
    private static final double USUAL_STEP = 0.005;      // the usual time; slower, lest a change counts twice
    static final double WAY_STEP = 0.05;                 // a zone's least time rises so far with each sample
    static final double RECENT_MS = 1_000;               // recent slowness is forgotten at this time scale
    private static final double LASTING_MS = 5_000;      // and its lasting slowness at this one
    private static final double IDLE_STEP = 0.01;        // of an average whose least is the idle time
    private static final int IDLE_SAMPLES = 20;          // answers before it replaces the first guess
    private static final double IDLE_MOST = 0.8;         // of the aim that a class may take in an idle fleet
    static final double RECENT_TOOK_MS = 1_000;          // that time follows at this scale, or by samples
    private static final double IDLE_TOOK_MS = 60_000;   // the idle one, the least lately, rises at this
    private static final double KEY_SHARE = 0.6;         // of the time elsewhere: servers do 26 to 68% less

    /** What such a request usually takes in this fleet: a fixed part and a part that grows with its work. */
    double cost(Request r) {
        if (r.cost == null || fleet.took.count == 0) {
            return Math.max(1e-3, r.kind.work.value);
        }
        double meanCost = fleet.tookByCost.meanX;
        double most = fleet.took.value / meanCost;
        double slope = Math.max(0, Math.min(fleet.tookByCost.slope(fleet.took.value), most));
        return Math.max(1e-3, fleet.took.value + slope * (r.cost - meanCost));
    }

    /** A served attempt, or one whose stream began, took so long. */
    void learnTime(Attempt a, double took) {
        fleet.answeredAt = fleet.now;
        Request r = a.request;
        Server s = a.server;
        if (a.connects) {   // the connection's time is not the server's
            double extra = Math.max(0, took - slowness(s) / cold.likely(s) * cost(r));
            fleet.connectExtra += (extra - fleet.connectExtra) * CONNECT_STEP;
            return;
        }
        if (cold.warmth(s) >= 1) {
            learnTimes(r.kind, Math.max(0, took - way(s)));
        }
        double ratio = took / cost(r);
        fleet.took.follow(took, USUAL_STEP);
        if (r.cost == null) {
            r.kind.work.follow(took, USUAL_STEP);
        } else {
            fleet.tookByCost.follow(r.cost, took, Math.max(1.0 / fleet.took.count, USUAL_STEP));
        }
        fleet.deviation += (Math.abs(ratio - fleet.slowness) - fleet.deviation) * FLEET_STEP;
        fleet.slowness += (ratio - fleet.slowness) * FLEET_STEP;
        double own = ratio * cold.likely(s) * fleet.took.value;   // a changed usual must not count twice
        double risen = s.zone.least + (took - s.zone.least) * WAY_STEP;
        s.zone.least = s.zone.least == 0 ? took : Math.min(took, risen);
        learnOwn(s, own);
        s.usualLoad += (a.loadAtSend - s.usualLoad) * FAST_STEP;
    }

    /** Each class by its own idle time: more of a slow class among the answers is no slower fleet. */
    private void learnTimes(Kind k, double took) {
        double since = k.tookAt == 0 ? 0 : fleet.now - k.tookAt;
        k.took.follow(took, IDLE_STEP);
        double risen = (k.took.value - k.idleTook) * (1 - Math.exp(-since / IDLE_TOOK_MS));
        double least = Math.min(k.took.value, k.idleTook + risen);
        double idle = k.took.count == IDLE_SAMPLES ? k.took.value : least;
        k.idleTook = k.took.count < IDLE_SAMPLES ? k.idleTook : Math.max(1e-3, idle);
        k.tookAt = fleet.now;
        double any = fleet.timedAt == 0 ? 0 : fleet.now - fleet.timedAt;
        double step = Math.max(FLEET_STEP, 1 - Math.exp(-any / RECENT_TOOK_MS));
        fleet.recentTimes += (took / k.idleTook - fleet.recentTimes) * step;
        fleet.timedAt = fleet.now;
    }

    /**
     * No answer for so long: this server's time was that much at least. Guards against a server that answers
     * after its callers' time: by answers alone it looks as quick as the few that came, to each of many.
     */
    void learnLate(Attempt a, double took) {
        double own = took / cost(a.request) * cold.likely(a.server) * fleet.took.value;
        if (fleet.took.count > 0 && own > slowness(a.server) * fleet.took.value) {
            learnOwn(a.server, own);
        }
    }

    private void learnOwn(Server s, double own) {
        s.lasting.follow(own, LONG_STEP);
        s.fast.follow(own, FAST_STEP);
        s.lastSample = fleet.now;
    }

    /** The time there over the usual: recent at first, then lasting, then no more than the usual. */
    private double slowness(Server s) {
        if (s.lasting.count == 0) {
            return fleet.slowness;
        }
        double since = s.lastSample - fleet.now;
        double slow = s.lasting.value;
        double usual = fleet.took.value;
        double lasting = usual + (slow - usual) * Math.exp(since / LASTING_MS);
        double time = lasting + (s.fast.value - slow) * Math.exp(since / RECENT_MS);
        return time / Math.max(1e-3, usual);
    }

    /** A doubt is an unhealthy outcome since the last success. It lapses: a verdict is what lasts. */
    boolean doubted(Server s) {
        s.doubts = fleet.now - s.lastDoubt > DOUBT_LASTS_MS ? 0 : s.doubts;
        return s.doubts > 0;
    }

    /** Own requests in flight, and those that may still be stuck there. */
    int load(Server s) {
        return s.outstanding.size() + (doubted(s) ? Math.min(s.doubts, DOUBTS_MOST) : 0);
    }

    /** Whether an attempt there now would have to wait for a new connection. */
    boolean connects(Server s) {
        if (s.outstanding.isEmpty() && fleet.now - s.lastUse > cfg.limits().idleTimeoutMs()) {
            s.connections = 0;
        }
        return s.outstanding.size() >= s.connections * cfg.limits().maxStreamsPerConnection();
    }

    /** The time the request would likely take there, by learned speed, own load and what is overdue. */
    double predicted(Server s, Request r) {
        double spared = s == r.keyServer ? KEY_SHARE : 1;
        double time = slowness(s) / cold.likely(s) * cost(r) * spared * (2 + load(s)) / (2 + s.usualLoad);
        for (Attempt a : s.outstanding) {   // by age: the oldest tells, unless it is stuck by itself
            boolean overtaken = a.overdue && a.overdueAt <= s.lastServedSentAt;   // one sent later was served
            if (!overtaken) {
                time = Math.max(time, fleet.now - a.sentAt);
                break;
            }
        }
        time += connects(s) ? fleet.connectExtra : 0;
        return doubted(s) ? Math.max(time, fleet.now - s.doubtSince) : time;
    }

    /**
     * What the way to its zone takes beyond the way home, by the least times seen lately. Guards against a
     * slow link being read as a crowd there: refusing does not shorten a way.
     */
    double way(Server s) {
        Zone mine = fleet.zones.get(cfg.zone());
        return s.home || mine == null || mine.least == 0 ? 0 : Math.max(0, s.zone.least - mine.least);
    }

    /** Likely lateness there by queues: the predicted time as a part of the aim, the way taken off both. */
    double crowded(Server s, Request r) {
        double way = way(s);
        double left = r.aimAt() - fleet.now - way;
        return left <= 0 ? 2 : Math.min(2, Math.max(0, predicted(s, r) - way) / left);
    }

    /**
     * Of the room that the aim leaves above the class's idle time, the part that queues take. Guards against
     * refusing in a calm fleet whose idle times are a larger part of its aims than elsewhere.
     */
    double queued(Server s, Request r) {
        double idle = Math.min(IDLE_MOST, r.kind.idleTook / Math.max(1e-3, r.aim() - way(s)));
        return Math.max(0, (crowded(s, r) - idle) / (1 - idle));
    }

    /** After this time an attempt there is unusually late. */
    double overdueAfter(Request r, Server s) {
        double usual = cost(r) / cold.likely(s);
        double least = OVERDUE_LEAST * fleet.slowness * usual;
        double most = Math.max(least, OVERDUE_AIM_SHARE * r.aim());
        double spread = usual * (fleet.slowness + OVERDUE_DEVIATIONS * fleet.deviation);
        return Math.min(most, Math.max(least, spread)) + way(s);
    }
}
