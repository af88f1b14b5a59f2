package dewplank.configuration;

import java.util.List;

/**
 * A route of a configuration.
 *
 * @param name its name
 * @param host the host it belongs to, in lower case
 * @param pathPrefix the beginning of its paths; begins and ends with a slash
 * @param type what may be repeated
 * @param timeoutMs the longest that a request is held
 * @param targetLatencyMs the time within which an answer earns its full worth
 * @param priority its rank, 0 being the highest
 * @param split its services; a plain service is a split of one
 * @param maxAttempts the greatest number of servers to which one request may be sent
 * @param sticky whether requests carry parts of prompts that servers keep
 * @param resumable whether a stream may be continued at another server
 * @param maxEventGapMs the longest pause between events that still keeps an answer in time; 0 where none is stated
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
        double maxEventGapMs) {
    /** Takes a copy of the split. */
    public Route {
        split = List.copyOf(split);
    }
}
