package dewplank.balancer;

import java.util.List;

/**
 * The settings of a balancer, fixed at its start: its position among its replicas, the properties of its
 * clients and servers, and the limits of the host.
 *
 * @param replicaIndex this instance's index among its replicas, from 0
 * @param replicaCount the number of instances that share the servers
 * @param zone this instance's zone; requests to servers in it have no cross-zone cost
 * @param tickMs the host's timer resolution; subtracted as a margin from limits that must be met exactly
 * @param endpointListIsPushed whether the host keeps the list current; otherwise the balancer subscribes to
 *     it
 * @param valueIsPerWork whether a class's value applies to one unit of work rather than to one request
 * @param serversAreRated whether servers are drawn in proportion to their rating
 * @param serversCacheKeys whether a server responds faster to a key that it has served before
 * @param overShareValueFactor the factor on the value of requests beyond their tenant's share
 * @param loadReportFields the names of the values in a load report, in order
 * @param loadReportsComeWithHealthChecks whether only health checks return load reports
 */
public record Settings(
        int replicaIndex,
        int replicaCount,
        String zone,
        double tickMs,
        boolean endpointListIsPushed,
        boolean valueIsPerWork,
        boolean serversAreRated,
        boolean serversCacheKeys,
        double overShareValueFactor,
        List<String> loadReportFields,
        boolean loadReportsComeWithHealthChecks,
        List<RequestClass> classes,
        List<Tenant> tenants,
        Limits limits,
        Safety safety,
        Prices prices,
        Goal goal) {

    /**
     * Whether repeating a request may have a second effect (RFC 9110, section 9.2): no for safe ones,
     * not with the same key for keyed ones, yes for unsafe ones.
     */
    public enum Idempotency {
        SAFE,
        KEYED,
        UNSAFE
    }

    /** The set of servers that deduplicate the repeats of a keyed request among themselves. */
    public enum DeduplicationScope {
        ALL,
        ZONE,
        CELL
    }

    /**
     * A class of requests, with the expectations of its clients.
     *
     * @param deduplicationWindowMs how long repeats of a keyed request are dropped; 0 unless keyed
     * @param latencyTargetMs a response within this time has its full value
     * @param latencyTargetPerWork milliseconds added to the latency target per unit of the request's work
     * @param deadlineMs the time after which the client gives up
     * @param value the value of a response within the latency target
     * @param lateValue the fraction of the value that a late response has, from 0 to 1
     * @param streaming whether responses are streams: once one has started, no further attempt is sent
     */
    public record RequestClass(
            String name,
            Idempotency idempotency,
            DeduplicationScope deduplicationScope,
            double deduplicationWindowMs,
            double latencyTargetMs,
            double latencyTargetPerWork,
            double deadlineMs,
            double value,
            double lateValue,
            boolean streaming) {}

    /**
     * A tenant with an agreed share of the servers.
     *
     * @param allowancePerSecond requests per second within the share; 0: unlimited
     */
    public record Tenant(String name, double share, double allowancePerSecond) {}

    /**
     * The limits and features of the host.
     *
     * @param maxAttempts the maximum number of attempts of one request, including the first
     * @param allowsHedging whether a request may have several attempts in flight
     * @param allowsCancellation whether an attempt in flight may be cancelled
     * @param allowsHealthChecks whether the balancer may send health checks to servers
     * @param exchangesPeerSummaries whether peers send each other the servers that they find unhealthy
     * @param allowsRetryAdvice whether a rejection may state when to retry
     * @param maxRetryAdviceMs the longest retry delay that a rejection may state
     * @param connectTimeoutMs the timeout of a connection attempt
     * @param idleTimeoutMs the time after which a server closes an idle connection
     * @param maxStreamsPerConnection the maximum number of requests in flight on one connection
     */
    public record Limits(
            int maxAttempts,
            boolean allowsHedging,
            boolean allowsCancellation,
            boolean allowsHealthChecks,
            boolean exchangesPeerSummaries,
            boolean allowsRetryAdvice,
            double maxRetryAdviceMs,
            double connectTimeoutMs,
            double idleTimeoutMs,
            int maxStreamsPerConnection) {}

    /**
     * Constraints that the balancer must not violate.
     *
     * @param maxSubscribeDelayMs the maximum time until an interrupted subscription is renewed
     * @param slowStartMs how long a server takes to warm up after its start
     * @param slowStartInitialShare the fraction of its capacity that a server has at its start
     * @param slowStartOverloadFactor the load, as a multiple of its current capacity, at which a server
     *     fails
     * @param slowStartOverloadMs how long a server withstands that load
     * @param allowsRemovedServers whether a server may still be used if it was removed from the list
     *     without draining first
     * @param rejectedMayHaveRun whether a server may reject a request after starting to execute it
     */
    public record Safety(
            double maxSubscribeDelayMs,
            double slowStartMs,
            double slowStartInitialShare,
            double slowStartOverloadFactor,
            double slowStartOverloadMs,
            boolean allowsRemovedServers,
            boolean rejectedMayHaveRun) {}

    /**
     * Deductions from the result: the price of one cross-zone request and that of one connection handshake
     * per first attempt.
     */
    public record Prices(double crossZone, double handshake) {}

    /**
     * The weights of the optimization goal: all traffic (including its worst interval), the worst-served
     * class, and the tail.
     *
     * @param tail the weight of the value served while at most {@code allowedMissShare} of a class's
     *     requests miss their latency target
     */
    public record Goal(double all, double worstClass, double tail, double allowedMissShare) {}
}
