package dewplank.configuration;

import java.util.List;

/**
 * A route of a configuration. Immutable.
 *
 * @param name its name, unique among routes
 * @param host the host of its requests, in lower case
 * @param pathPrefix the beginning of their paths; begins and ends with a slash
 * @param type whether requests may be retried
 * @param timeoutMs the maximum duration of a request, in milliseconds
 * @param targetLatencyMs the latency target (SLO): a response within it has its full value
 * @param priority the priority of its requests, 0 being the highest
 * @param split its services with their weights, at least one
 * @param maxAttempts the maximum number of servers to which a request may be sent
 * @param sticky whether requests identify the parts of their prompts, which servers cache
 * @param resumable whether a stream may be resumed on another server
 * @param isPublic whether its requests need no access key
 * @param maxEventGapMs the maximum time between two events of a stream that is on time; 0 if not configured
 */
public record Route(
        String name,
        String host,
        String pathPrefix,
        RouteType type,
        double timeoutMs,
        double targetLatencyMs,
        int priority,
        List<WeightedService> split,
        int maxAttempts,
        boolean sticky,
        boolean resumable,
        boolean isPublic,
        double maxEventGapMs) {
    /** Copies the split. */
    public Route {
        split = List.copyOf(split);
    }
}
