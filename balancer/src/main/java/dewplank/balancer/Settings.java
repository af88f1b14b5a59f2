package dewplank.balancer;

import java.util.List;

/**
 * What a balancer is told once, at its start: its place among its replicas, what its clients and servers are
 * like, and what the host allows.
 *
 * @param replicaIndex this instance's number among its replicas, from 0
 * @param replicaCount how many instances share the servers
 * @param zone this instance's own zone, where crossing costs nothing
 * @param tickMs the host's timer resolution; what depends on an exact time keeps so much distance from it
 * @param endpointListIsPushed whether the host keeps the list current by itself; else it is subscribed to
 * @param valueIsPerWork whether a class's value holds for one unit of work rather than for one request
 * @param serversAreRated whether servers are drawn in proportion to their stated rating
 * @param serversCacheKeys whether a server answers faster for a key that it has served before
 * @param overShareValueFactor the part of its value that a request of a tenant beyond its share keeps
 * @param loadReportFields the names of the figures in a load report, in its order
 * @param loadReportsComeWithHealthChecks whether load reports come with health checks only
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

    /** What a repeated request does, after RFC 9110, section 9.2: nothing, nothing by its key, or harm. */
    public enum Idempotency {
        SAFE,
        KEYED,
        UNSAFE
    }

    /** The servers that drop one another's repeats of a keyed request. */
    public enum DeduplicationScope {
        ALL,
        ZONE,
        CELL
    }

    /**
     * A class of requests, with what its clients expect.
     *
     * @param deduplicationWindowMs how long a keyed repeat is dropped; 0 unless keyed
     * @param latencyTargetMs an answer within this time has its full value
     * @param latencyTargetPerWork milliseconds added to the latency target for each unit of a request's work
     * @param deadlineMs when the client gives up
     * @param value of an answer in time
     * @param lateValue the part of the value that a late answer keeps, from 0 to 1
     * @param streaming whether answers are streams: once one has started, nothing more is sent
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
     * A tenant whose share of the servers is agreed on.
     *
     * @param allowancePerSecond requests per second within the share; 0: not bounded
     */
    public record Tenant(String name, double share, double allowancePerSecond) {}

    /**
     * What the host allows and can bear.
     *
     * @param maxAttempts attempts of one request, the first one included
     * @param allowsHedging whether a request may have several attempts in flight
     * @param allowsCancellation whether an attempt in flight may be cancelled
     * @param allowsHealthChecks whether servers may be sent health checks
     * @param exchangesPeerSummaries whether peers tell each other which servers they find unhealthy
     * @param allowsRetryAdvice whether a rejection may say when to retry
     * @param maxRetryAdviceMs the longest such time
     * @param connectTimeoutMs after which a connection attempt has failed
     * @param idleTimeoutMs after which a server closes an idle connection
     * @param maxStreamsPerConnection requests in flight on one connection
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
     * What must hold whatever it costs.
     *
     * @param maxSubscribeDelayMs a broken subscription is renewed within this time
     * @param slowStartMs how long a server takes to warm up after its start
     * @param slowStartInitialShare the share of its capacity that a server has at its start
     * @param slowStartOverloadFactor the load, as a multiple of its present capacity, that a server does not
     *     survive
     * @param slowStartOverloadMs how long it bears that load
     * @param onlyDrainingIsBinding a server listed as gone, but never as draining, may still be used
     * @param rejectedMayHaveRun whether a server may reject work that it had begun
     */
    public record Safety(
            double maxSubscribeDelayMs,
            double slowStartMs,
            double slowStartInitialShare,
            double slowStartOverloadFactor,
            double slowStartOverloadMs,
            boolean onlyDrainingIsBinding,
            boolean rejectedMayHaveRun) {}

    /** Points off the result, each for one event per first attempt. */
    public record Prices(double crossZone, double handshake) {}

    /**
     * How the result is weighed: all traffic (with its worst spell), the class served worst, and the tail.
     *
     * @param tail the weight of the value served while no more than {@code allowedMissShare} of a class's
     *     requests miss their latency target
     */
    public record Goal(double all, double worstClass, double tail, double allowedMissShare) {}
}
