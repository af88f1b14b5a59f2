package dewplank.balancer.adaptive;

import dewplank.balancer.Settings;

import java.util.List;
import java.util.random.RandomGenerator;
import dewplank.balancer.adaptive.Memory.*;

/** How warm servers are, and this instance's part of what the cold ones may be sent. */
record SlowStartBudget(Settings cfg, Fleet fleet, Rate warmRate, RandomGenerator random) {
    private static final double COLD_OWN_RATE = 0.6;     // of this instance's usual rate to a warm server
    private static final double COLD_FLOOR_CORES = 0.25; // standard cores that even the smallest server has
    static final double RATE_TAU_MS = 3_000;             // averaging time of that rate

    /** The part of its capacity that a server surely has by now. */
    double warmth(Server s) {
        Double at = s.entry.startedAtMs();
        if (at == null || at <= 0 || cfg.safety().slowStartMs() <= 0) {
            return 1;
        }
        double age = Math.max(0, fleet.now - at) / cfg.safety().slowStartMs();
        double initial = cfg.safety().slowStartInitialShare();
        return Math.min(1, initial + (1 - initial) * age);
    }

    /**
     * The part that it is expected to have: half way, as ratios go, between what it surely has and all. By
     * the sure part, on which the budget rests, a crowded fleet would leave its newcomers idle.
     */
    double likely(Server s) {
        return Math.sqrt(warmth(s));
    }

    /**
     * This instance's part of the stated budget, as work saved up since its start; trials and copies count. A
     * part of less than one request starts with a debt drawn by lot: of hundreds of sidecars only so many
     * send at once as the budget bears, instead of one request each.
     */
    boolean allows(Server s, Request r) {
        double warmth = warmth(s);
        if (warmth >= 1) {
            s.coldAt = 0;
            return true;
        }
        double perMs = cfg.safety().slowStartOverloadFactor() * warmth
            * Math.max(COLD_OWN_RATE * warmRate.value, COLD_FLOOR_CORES / Math.max(1, cfg.replicaCount()));
        if (s.coldAt == 0) {
            s.coldAt = fleet.now;
            s.coldSaved = -random.nextDouble() * r.kind.work.value;
        }
        double most = perMs * cfg.safety().slowStartOverloadMs() / 2;
        s.coldSaved = Math.min(most, s.coldSaved + perMs * (fleet.now - s.coldAt));
        s.coldAt = fleet.now;
        return s.inSet && s.coldSaved >= 0;
    }

    /** Takes what is sent to a cold server off its budget; what warm ones get sets the pace of that. */
    void countSend(Server s, double work, List<Server> working) {
        if (warmth(s) < 1) {
            s.coldSaved -= work;
            return;
        }
        long warm = working.stream().filter(x -> warmth(x) >= 1).count();
        warmRate.add(fleet.now, work / RATE_TAU_MS / Math.max(1, warm));
    }
}
