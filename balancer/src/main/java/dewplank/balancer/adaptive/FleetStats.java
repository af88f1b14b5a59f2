package dewplank.balancer.adaptive;

import java.util.HashMap;
import java.util.Map;

/** What was learned of the whole fleet of servers. */
final class FleetStats {
    final Map<String, ZoneStats> zones = new HashMap<>();
    /** An answer's time over the usual one for its work. */
    double slowdown = 1;

    double slowdownDeviation = 0.5;
    double connectMs;
    double connectFailureShare;
    double lastAnswerAtMs;
    double lastWarmAnswerAtMs;
    /** Recent times over each class's idle time, by warm servers on open connections. */
    double timesOverIdle = 1;

    final RunningMean elapsed = new RunningMean(0);
    final RunningRegression elapsedByCost = new RunningRegression();
}
