package dewplank.emulator;

import dewplank.emulator.scenario.LoadReports;
import org.apache.commons.rng.UniformRandomProvider;

/** Produces a server's load reports: the number of requests in flight, refreshed at intervals, with noise. */
final class LoadReporter {
    /** Returned if the server sends no load reports. */
    static final double NO_REPORT = -1;

    private final LoadReports rules;
    private final UniformRandomProvider random;
    private double reported;
    private double refreshedAtMs = Double.NEGATIVE_INFINITY;

    LoadReporter(LoadReports rules, UniformRandomProvider random) {
        this.rules = rules;
        this.random = random;
    }

    /** The load report to send with a response, or {@link #NO_REPORT}. */
    double report(int requestsInFlight, double nowMs) {
        if (!rules.enabled()) {
            return NO_REPORT;
        }
        if (nowMs - refreshedAtMs >= rules.periodMs()) {
            refreshedAtMs = nowMs;
            double noise = rules.noise() * (2 * random.nextDouble() - 1);
            reported = Math.max(0, Math.rint(requestsInFlight * (1 + noise)));
        }
        return reported;
    }
}
