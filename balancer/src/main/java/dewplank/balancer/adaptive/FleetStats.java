package dewplank.balancer.adaptive;

import java.util.HashMap;
import java.util.Map;

/** Statistics of the whole fleet of servers. */
final class FleetStats {
    final Map<String, ZoneStats> zones = new HashMap<>();
    /** The average ratio of the response time to the typical time for the request's work. */
    double slowdown = 1;

    double slowdownDeviation = 0.5;
    double connectMs;
    double connectFailureFraction;
    double lastResponseAtMs;
    double lastWarmSampleAtMs;
    /** The recent ratio of response time to the class's idle time, at warm servers on open connections. */
    double slowdownOverIdle = 1;

    final RunningMean elapsed = new RunningMean(0);
    final RunningRegression elapsedByCost = new RunningRegression();
}
