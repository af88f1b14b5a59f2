package dewplank.routing;

/**
 * The parameters of routing, grouped by the decision that uses them. {@link Mechanism} states which decisions can be
 * disabled; this record defines their values. Immutable; each group is read by one class, on the event loop.
 *
 * <p>The comment on a parameter states its unit, its source, and the results with half and double its value where these
 * were measured. Half and double were not measured where the comment does not mention them, and a parameter without a
 * source was set by the reasoning in its comment.
 *
 * <p>A site is a deployment on which the parameters were tried; {@code docs/policy.md} describes the runs. The score of
 * a run, from 0 to 1, is the value of its served requests as a fraction of the best possible value; the score of a
 * group of requests is the same fraction of their value. Most parameters come from the first two sites; they were
 * neither adjusted to other sites nor shown to be irrelevant there (section 5).
 *
 * @param prefillLoad how the load of a prefill server is estimated
 * @param decodeLoad how the load of a decode server is estimated
 * @param queueDelay how quickly observed queue delays are discounted
 * @param promptSplit which prefill servers are reserved for short prompts
 * @param draw the weights of random draws
 * @param ejection when a server is ejected as unhealthy, and when it gets a trial request
 * @param healthGossip the health summaries that data planes send each other
 * @param retryBudget how much of the fleet's retry budget one data plane uses
 * @param fleetSize how the number of data planes is estimated
 * @param backoff how long a server gets no requests after a rejection
 * @param hedging when an overdue request is sent to another server
 * @param decodePrefillDeadline the deadline until which a decode server may start to prefill a prompt
 * @param stagePlanning how many model servers prefill and how many decode
 */
public record RoutingParameters(
        PrefillLoad prefillLoad,
        DecodeLoad decodeLoad,
        QueueDelay queueDelay,
        PromptSplit promptSplit,
        Draw draw,
        Ejection ejection,
        HealthGossip healthGossip,
        RetryBudgetMargins retryBudget,
        FleetSizing fleetSize,
        Backoff backoff,
        Hedging hedging,
        DecodePrefillDeadline decodePrefillDeadline,
        StagePlanning stagePlanning) {

    /**
     * Load of a prefill server, as the time in milliseconds until it starts on a prompt.
     *
     * @param tokensPerMs number of prompt tokens that a prefill server reads per millisecond. Source: the first two
     *     sites; it was 32.4 on the third site (policy.md, section 5)
     * @param cachedPrefixCredit factor on the time that a cached prefix saves. It is above 1 because prefilling the
     *     prefix at another server also evicts cached prefixes of other prompts there. Source: a run at high load
     *     without faults on the first site, whose score was 1.00 with 2, 0.96 with half of that and 0.92 with a fifth.
     *     Double was not measured
     * @param stalledAfterMs excess of the oldest request's wait over the expected wait beyond which a server counts as
     *     stalled. Source: the first site, not tuned
     * @param stalledPenaltyMs increase of the load of a stalled server. Source: the first site, not tuned
     * @param tokensPerPriorityLevel number of uncached prompt tokens by which the urgency of a prefill decreases by one
     *     level. Source: runs at low load on the first site, in which the score of short prompts was 0.91 with priority
     *     by length, 0.86 without priority, and 0.76 to 0.83 with priority by route
     */
    public record PrefillLoad(
            double tokensPerMs,
            double cachedPrefixCredit,
            double stalledAfterMs,
            double stalledPenaltyMs,
            long tokensPerPriorityLevel) {}

    /**
     * Load of a decode server, in prompt tokens.
     *
     * @param prefillSlowdown factor by which the prefill of a prompt takes longer at a decode server, which interleaves
     *     it with the tokens of its streams. Source: 9,190 tokens took 0.6 s on the third site (policy.md, section 2),
     *     compared with 0.28 s at 32.4 tokens per millisecond
     * @param requestTokens load of a request in flight; one step of a batch takes 5 ms or more. Source: estimate on the
     *     first site
     * @param connectionTokens load of a new connection, which costs a handshake and a round trip of 1 to 3 ms. Source:
     *     estimate. With the mechanism {@code reuse} disabled, the score on the first site was 0.576, compared with
     *     0.630 and 0.640 with the mechanism enabled
     * @param crossZoneTokens load that is added if the server's zone is not the zone of the prefill. Source: estimate
     *     on the first site
     */
    public record DecodeLoad(
            double prefillSlowdown, double requestTokens, double connectionTokens, double crossZoneTokens) {}

    /**
     * The exponential average of the queue delays of prompts at a prefill server.
     *
     * @param sampleWeight weight of a new delay, from 0 to 1; the state of a queue changes within a few delays. Source:
     *     the first site, not tuned
     * @param decayMs time in which the average decreases to 1/e while no delay is observed; queues of prompts change
     *     within 0.3 s. Source: the first site. With the mechanism {@code queue-memory} disabled, the score was 0.642,
     *     compared with 0.630 and 0.640 with the mechanism enabled; the difference is within the measurement noise
     */
    public record QueueDelay(double sampleWeight, double decayMs) {}

    /**
     * The split of prefill servers between short and long prompts.
     *
     * @param minServers minimum number of servers on either side; with fewer servers the fluctuations of their load
     *     cost more than short prompts gain
     * @param shortServerRatio ratio of the short prompts' fraction of servers to their fraction of tokens; above 1
     *     because short prompts are more urgent. Measured on the third site only, and only together with two other
     *     changes (policy.md, section 3)
     * @param sampleWeight weight of a new prompt in the averages, from 0 to 1. The averages cover about thirty prompts,
     *     the number that one data plane receives in ten seconds
     * @param minPrompts number of prompts to observe before short prompts are distinguished
     * @param shortLengthFraction fraction of the token-weighted mean length up to which a prompt is short
     * @param fractionStep step to which the short prompts' fraction of tokens is rounded, so that data planes mostly
     *     agree
     */
    public record PromptSplit(
            int minServers,
            double shortServerRatio,
            double sampleWeight,
            int minPrompts,
            double shortLengthFraction,
            double fractionStep) {}

    /**
     * Weights of random draws.
     *
     * @param crossZoneWeight weight of a server in another zone; a server in the data plane's zone has 1. Source: the
     *     first two sites
     */
    public record Draw(double crossZoneWeight) {}

    /**
     * Outlier ejection, and the trial requests that end an ejection.
     *
     * @param minFailures number of failures within the window, summed over all data planes that vote, that is required
     *     to eject a server. Source: the design of the sidecar's balancer
     * @param outcomeWindowMs how long an outcome counts. Source: the design of the sidecar's balancer
     * @param outdatedAfterMs time by which the newest success must be later than a failure so that the failure no
     *     longer counts as a vote; covers the rounding of ages and reordered datagrams
     * @param decisionValidMs how long a decision on ejection is cached
     * @param trialsPerSecond rate of trials at an ejected server from all data planes together; with ninety data planes
     *     one trial per second from each would be more than the requests of a healthy server
     * @param minTrialIntervalMs minimum interval between trials of one data plane. Source: the design of the sidecar's
     *     balancer
     */
    public record Ejection(
            int minFailures,
            double outcomeWindowMs,
            double outdatedAfterMs,
            double decisionValidMs,
            double trialsPerSecond,
            double minTrialIntervalMs) {}

    /**
     * Health summaries between data planes.
     *
     * @param intervalMs interval between summaries while nothing changes. Source: the design of the sidecar's balancer
     * @param changeIntervalMs interval between checks for changes; a change that is found is sent immediately
     * @param successValidMs how long this data plane votes for a server after it served a request
     * @param maxPeersPerRound number of peers chosen at random for each summary, which limits the datagrams in a large
     *     fleet
     * @param summaryValidMs how long a peer's summary is valid, on the receiver's clock. Source: three intervals
     * @param maxPeers maximum number of peers with a stored summary; further peers are ignored. Source: a limit on the
     *     use of memory
     */
    public record HealthGossip(
            double intervalMs,
            double changeIntervalMs,
            double successValidMs,
            int maxPeersPerRound,
            double summaryValidMs,
            int maxPeers) {}

    /**
     * The fractions of its retry budget that a data plane uses. They leave a margin because each data plane counts its
     * own requests only and the sliding windows of different data planes are not aligned.
     *
     * @param slackFraction the fraction of its part of the slack that a data plane uses; the rest is a margin because a
     *     restarted data plane has lost the count of its retries
     * @param ratioFraction the fraction of the ratio that a data plane uses; the rest is a margin because each data
     *     plane counts its own requests only, in its own window
     * @param windowFactor how long a retry counts, as a multiple of the window
     */
    public record RetryBudgetMargins(double slackFraction, double ratioFraction, double windowFactor) {}

    /**
     * The estimate of the number of data planes that share a retry budget.
     *
     * @param settleFraction fraction of the budget's window after the first membership update during which no slack is
     *     used. Sessions that were lost together are open again after a connect timeout, a backoff and a heartbeat.
     *     These take 1.5 s in total, of a window of 10 s. Source: twice this sum
     * @param retainedWindows number of windows for which the largest number of data planes is retained after it was
     *     last the current number. One window is enough for retries; the others cover partitions and restarts during
     *     which data planes that are missing from the membership continue to send requests
     */
    public record FleetSizing(double settleFraction, double retainedWindows) {}

    /**
     * Exponential backoff from servers, doubled with each consecutive rejection.
     *
     * @param rejectedMs first backoff after a server rejected a request. Source: the first two sites
     * @param unreachableMs first backoff after a connection failed. Source: the first two sites
     * @param maxMs maximum backoff. Source: the first two sites
     */
    public record Backoff(double rejectedMs, double unreachableMs, double maxMs) {}

    /**
     * When a request is overdue. An overdue request is sent to another server if route and budget allow that. With
     * hedging disabled (mechanism {@code patience}), the score of a run without unreachable servers was 0.632, compared
     * with 0.630 and 0.640 with hedging.
     *
     * @param plainTargetFactor multiple of the route's latency target, for a plain request. Source: the first two sites
     * @param prefillMs constant part for a prefill, added to the multiple of its expected time. Source: the first two
     *     sites
     * @param prefillFactor multiple of the expected time of a prefill. Source: the first two sites
     * @param streamMs time without an event after which a stream is overdue. Source: the first two sites
     * @param firstEventFactor multiple of the expected time of the prefill, added before a stream's first event.
     *     Source: the first two sites
     */
    public record Hedging(
            double plainTargetFactor,
            double prefillMs,
            double prefillFactor,
            double streamMs,
            double firstEventFactor) {}

    /**
     * The latest moment at which a decode server prefills a prompt that no prefill server has prefilled. Clients
     * abandon a stream, also before its first event, after the longest of three times without an event, which the
     * protocol defines. With half of the remaining time as the limit instead, requests of routes with a short latency
     * target stopped waiting for prefill servers too late.
     *
     * @param minClientTimeoutMs the first of the three times. Source: the protocol
     * @param clientTimeoutTargetFactor the second, as a multiple of the route's latency target. Source: the protocol
     * @param clientTimeoutGapFactor the third, as a multiple of the route's longest gap between events. Source: the
     *     protocol
     * @param prefillFactor time reserved for the prefill, as a multiple of its expected time at a decode server
     * @param firstEventMs time reserved from the prompt's last token to the arrival of the first event at the client.
     *     Source: a few steps and round trips
     */
    public record DecodePrefillDeadline(
            double minClientTimeoutMs,
            double clientTimeoutTargetFactor,
            double clientTimeoutGapFactor,
            double prefillFactor,
            double firstEventMs) {}

    /**
     * The split of model servers between prefill and decode.
     *
     * @param minDecodeFraction minimum fraction of decode servers, so that streams need not wait if one crashes.
     *     Source: the first two sites; two decode servers instead of three reduced the score from 1.00 to 0.55 in a run
     *     at high load
     * @param maxSlotFraction fraction of the decode servers' slots in use above which another decode server is needed.
     *     Source: the first two sites
     * @param maxMemoryFraction the same limit for the use of their KV cache. Source: the first two sites
     * @param idleSlotFraction fraction of slots in use, counted without one of the decode servers, up to which one
     *     decode server fewer is enough; lower than {@code maxSlotFraction}, so that servers do not change back and
     *     forth. Source: the first two sites
     * @param maxChangingFraction fraction of the servers that may change their stage at once while requests run; a
     *     changing server is unavailable until its requests have completed and the switch is done. Source: the third
     *     site, where changing 63 servers one at a time took longer than the time for which the load stayed constant
     * @param maxMissingDecodeServers number of decode servers that may be missing without a change, because most
     *     servers that crash are restarted and a change costs prefill time. Source: the first two sites
     */
    public record StagePlanning(
            double minDecodeFraction,
            double maxSlotFraction,
            double maxMemoryFraction,
            double idleSlotFraction,
            double maxChangingFraction,
            int maxMissingDecodeServers) {}

    /** The values that all programs use. */
    public static final RoutingParameters DEFAULTS = new RoutingParameters(
            new PrefillLoad(38, 2, 150, 400, 400),
            new DecodeLoad(2, 100, 80, 400),
            new QueueDelay(0.5, 400),
            new PromptSplit(4, 1.25, 1 / 32.0, 8, 0.5, 1 / 16.0),
            new Draw(0.25),
            new Ejection(3, 10_000, 500, 100, 3, 1_000),
            new HealthGossip(1_000, 250, 5_000, 16, 3_000, 1_024),
            new RetryBudgetMargins(0.6, 0.8, 1.1),
            new FleetSizing(0.3, 6),
            new Backoff(40, 250, 2_000),
            new Hedging(2.5, 300, 2, 700, 2),
            new DecodePrefillDeadline(2_000, 4, 8, 1.5, 150),
            new StagePlanning(0.25, 0.5, 0.8, 0.25, 0.1, 1));
}
