package dewplank.routing;

/**
 * The figures by which requests are routed, in groups by the decision that uses them. {@link Mechanism} says which
 * decisions are made at all; this record says how. Immutable; a group is read by one class each, on the event loop.
 *
 * <p>Each figure has its unit, its source, and what half and double of it gave where that was measured; "not measured"
 * says that nobody tried. {@code docs/policy.md} has the runs. Most figures come from the first two sites and were
 * neither learned nor shown not to matter elsewhere (section 5 there).
 *
 * @param prefillLoad how loaded a prefill server counts
 * @param decodeLoad how loaded a decode server counts
 * @param queueDelay how long observed queue delays are believed
 * @param promptSplit which prefill servers are reserved for short prompts
 * @param draw the weights of random draws
 * @param ejection when a server is ejected as unhealthy, and when it is tried again
 * @param healthGossip what data planes send each other about servers' health
 * @param retryBudget what one data plane uses of the fleet's budget of retries
 * @param fleetSize how the number of data planes is estimated
 * @param backoff how long a server is left alone
 * @param hedging when a request that is overdue goes to another server
 * @param lastResort until when a decode server may still begin to prefill a prompt
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
        RetryBudgetUse retryBudget,
        FleetSizing fleetSize,
        Backoff backoff,
        Hedging hedging,
        LastResort lastResort,
        StagePlanning stagePlanning) {

    /**
     * Load of a prefill server, in milliseconds until a prompt is begun there.
     *
     * @param tokensPerMs prompt tokens that a prefill server reads in a millisecond. Source: the first sites; 32.4 on
     *     the third (policy.md, section 5). Half and double: not measured
     * @param cachedPrefixCredit how often the time counts that a cached prefix saves: above 1, as reading it elsewhere
     *     also displaces what others have cached there. Source: a busy day without faults on the first site, 2 gave
     *     1.00. Half gave 0.96, a fifth 0.92; double: not measured
     * @param stalledAfterMs beyond the expected wait of the oldest request, after which a server counts as stalled.
     *     Source: the first site, not tuned. Half and double: not measured
     * @param stalledPenaltyMs what a stalled server's load grows by. Source: the first site, not tuned. Half and
     *     double: not measured
     * @param tokensPerPriorityLevel tokens of the uncached prompt for each level of less urgency of its prefill.
     *     Source: quiet days of the first site, where priority by length gave short prompts 0.91 of their
     *     value, none 0.86, priority by route 0.76 to 0.83. Half and double: not measured
     */
    public record PrefillLoad(
            double tokensPerMs,
            double cachedPrefixCredit,
            double stalledAfterMs,
            double stalledPenaltyMs,
            long tokensPerPriorityLevel) {}

    /**
     * Load of a decode server, in tokens of prompts.
     *
     * @param prefillSlowdown times longer than at a prefill server that a prompt takes at a decode server, which reads
     *     it between the tokens of its streams. Source: 9,190 tokens took 0.6 s on the third site (policy.md,
     *     section 2), where 32.4 tokens a millisecond are 0.28 s. Half and double: not measured
     * @param requestTokens what a request in flight weighs: a step of a batch takes 5 ms and more. Source: estimate on
     *     the first site. Half and double: not measured
     * @param connectionTokens what a new connection costs, a handshake and a round trip of 1 to 3 ms. Source:
     *     estimate. Without it (mechanism {@code reuse} off) 0.576 instead of 0.630 and 0.640 on the first site; half
     *     and double: not measured
     * @param crossZoneTokens what another zone than the prompt's costs. Source: estimate on the first site. Half and
     *     double: not measured
     */
    public record DecodeLoad(
            double prefillSlowdown, double requestTokens, double connectionTokens, double crossZoneTokens) {}

    /**
     * The exponential average of the queue delays that prompts met at a prefill server.
     *
     * @param sampleWeight of a new delay, 0 to 1: queues change within a few of them. Source: the first site, not
     *     tuned. Half and double: not measured
     * @param decayMs the time within which the average falls to 1/e while no delay is observed: queues of prompts
     *     change within 0.3 s. Source: the first site. Half and double: not measured; without the average (mechanism
     *     {@code queue-memory} off) 0.642 instead of 0.630 and 0.640, which is noise
     */
    public record QueueDelay(double sampleWeight, double decayMs) {}

    /**
     * The split of prefill servers between short and long prompts.
     *
     * @param minServers on either side: a part of fewer servers loses more to its own ups and downs than short prompts
     *     gain by it. Source: reasoning. Half and double: not measured
     * @param shortHeadroom how much more of the servers short prompts get than they bring of the tokens: they are the
     *     ones in a hurry. Source: reasoning; played on the third site together with two other changes only (policy.md,
     *     section 3). Half and double: not measured
     * @param sampleWeight of a new prompt in the averages, 0 to 1: some thirty prompts count, ten seconds of one data
     *     plane's. Source: reasoning. Half and double: not measured
     * @param minPrompts seen before short prompts are distinguished. Source: reasoning. Half and double: not measured
     * @param shortLengthFraction of the mean length by tokens, up to which a prompt is short. Source: reasoning. Half
     *     and double: not measured
     * @param fractionStep in which the short prompts' fraction of tokens is rounded, so that data planes mostly agree.
     *     Source: reasoning. Half and double: not measured
     */
    public record PromptSplit(
            int minServers,
            double shortHeadroom,
            double sampleWeight,
            int minPrompts,
            double shortLengthFraction,
            double fractionStep) {}

    /**
     * Weights of random draws.
     *
     * @param crossZoneWeight of a server in another zone, where one in the own zone has 1. Source: the first sites.
     *     Half and double: not measured
     */
    public record Draw(double crossZoneWeight) {}

    /**
     * Outlier ejection and the trial requests that end it.
     *
     * @param minFailures within the window, over all data planes that vote, before a server is ejected. Source: the
     *     design of one sidecar. Half and double: not measured
     * @param outcomeWindowMs how long an outcome counts. Source: the same. Half and double: not measured
     * @param outdatedAfterMs a failure that is older by more than this than the newest success is no vote: it covers
     *     the rounding of ages and datagrams that cross. Source: reasoning. Half and double: not measured
     * @param verdictValidMs after which a verdict is worked out anew. Source: reasoning. Half and double: not measured
     * @param trialsPerSecond to an ejected server, by all data planes together: one of each would be more than a
     *     healthy server gets where there are ninety. Source: reasoning. Half and double: not measured
     * @param minTrialIntervalMs between trials of one data plane. Source: the design of one sidecar. Half and double:
     *     not measured
     */
    public record Ejection(
            int minFailures,
            double outcomeWindowMs,
            double outdatedAfterMs,
            double verdictValidMs,
            double trialsPerSecond,
            double minTrialIntervalMs) {}

    /**
     * Summaries of servers' health between data planes.
     *
     * @param intervalMs between summaries while nothing changes. Source: the design of one sidecar. Half and double:
     *     not measured
     * @param changeIntervalMs between looks for a change that is sent at once. Source: reasoning. Half and double: not
     *     measured
     * @param successValidMs how long a server that served here has this data plane's vote. Source: reasoning. Half and
     *     double: not measured
     * @param maxPeersPerRound drawn anew for each summary: keeps the datagrams of a large fleet bounded. Source:
     *     reasoning. Half and double: not measured
     * @param summaryValidMs how long a peer's summary counts, by the receiver's clock. Source: three intervals. Half
     *     and double: not measured
     * @param maxPeers remembered; further ones are not taken in. Source: a bound on memory. Half and double: not
     *     measured
     */
    public record HealthGossip(
            double intervalMs,
            double changeIntervalMs,
            double successValidMs,
            int maxPeersPerRound,
            double summaryValidMs,
            int maxPeers) {}

    /**
     * What a data plane uses of its part of the retry budget: windows slide, and requests are counted elsewhere too.
     *
     * @param slackFraction of its part of the slack: a restarted data plane has forgotten its retries. Source:
     *     reasoning. Half and double: not measured
     * @param ratioFraction of the ratio: requests are counted elsewhere. Source: reasoning. Half and double: not
     *     measured
     * @param windowFactor times the window for which a retry counts. Source: reasoning. Half and double: not measured
     */
    public record RetryBudgetUse(double slackFraction, double ratioFraction, double windowFactor) {}

    /**
     * The estimate of how many data planes share a budget.
     *
     * @param settleFraction of the budget's window after the first membership update, before which no slack is used:
     *     sessions that broke off together are open again after a dial's time-out, a backoff and a heartbeat, 1.5 s of
     *     a window of 10 s. Source: this sum, doubled. Half and double: not measured
     * @param retainedWindows of the budget for which the largest number counts after it was last current. One would do
     *     for retries, the others cover partitions and restarts in which the missing ones go on sending. Source:
     *     reasoning. Half and double: not measured
     */
    public record FleetSizing(double settleFraction, double retainedWindows) {}

    /**
     * Exponential backoff of servers, doubled with each rejection in a row.
     *
     * @param rejectedMs the first one after a server rejected a request. Source: the first sites. Half and double: not
     *     measured
     * @param unreachableMs the first one after a connection failed. Source: the first sites. Half and double: not
     *     measured
     * @param maxMs the longest. Source: the first sites. Half and double: not measured
     */
    public record Backoff(double rejectedMs, double unreachableMs, double maxMs) {}

    /**
     * When a request is overdue, so that another server gets it where route and budget allow that. Without hedging
     * (mechanism {@code patience} off) a day without unreachable servers gave 0.632 instead of 0.630 and 0.640.
     *
     * @param plainTargetFactor times the route's latency target, for a plain request. Source: the first sites. Half and
     *     double: not measured
     * @param prefillMs for a prefill, besides its expected time. Source: the first sites. Half and double: not measured
     * @param prefillFactor times the expected time of a prefill. Source: the same. Half and double: not measured
     * @param streamMs without an event of a stream. Source: the same. Half and double: not measured
     * @param firstEventFactor times the expected time of its prefill, added before a stream's first event. Source: the
     *     same. Half and double: not measured
     */
    public record Hedging(
            double plainTargetFactor,
            double prefillMs,
            double prefillFactor,
            double streamMs,
            double firstEventFactor) {}

    /**
     * The latest moment at which a decode server prefills a prompt that no prefill server read: clients give a stream
     * up, before its first event too, after the longest of three times without an event, which the protocol states.
     * With half of the time that remained instead, routes with a short target gave prompts up too late.
     *
     * @param minClientTimeoutMs the first of the three. Source: the protocol
     * @param clientTimeoutTargetFactor the second, times the route's latency target. Source: the protocol
     * @param clientTimeoutGapFactor the third, times the route's longest gap between events. Source: the protocol
     * @param prefillFactor times the expected prefill at a decode server that are set aside. Source: reasoning. Half
     *     and double: not measured
     * @param firstEventMs set aside from a prompt's last token to the client. Source: a few steps and round trips. Half
     *     and double: not measured
     */
    public record LastResort(
            double minClientTimeoutMs,
            double clientTimeoutTargetFactor,
            double clientTimeoutGapFactor,
            double prefillFactor,
            double firstEventMs) {}

    /**
     * The split of model servers between prefill and decode.
     *
     * @param minDecodeFraction of the servers that decode in any case, as streams must not wait for one that crashed.
     *     Source: the first sites; two decode servers instead of three gave 0.55 of 1.00 on a busy day. Half and
     *     double: not measured
     * @param maxSlotFraction of the decode servers' slots in use, beyond which one more is wanted. Source: the first
     *     sites. Half and double: not measured
     * @param maxMemoryFraction the same of their KV cache. Source: the first sites. Half and double: not measured
     * @param idleSlotFraction of the slots that would be left, up to which one fewer is enough: lower than the other
     *     bound, so that servers do not go to and fro. Source: the first sites. Half and double: not measured
     * @param maxChangingFraction of the servers that may change their stage at once while requests run: a change takes
     *     a server out for as long as its requests take, and for the switch. Source: the third site, where 63 servers
     *     one at a time took longer than the load stayed as it was. Half and double: not measured
     * @param toleratedAbsent decode servers that may be missing for a while: most that crash come back, and a change
     *     costs prefill time. Source: the first sites. Half and double: not measured
     */
    public record StagePlanning(
            double minDecodeFraction,
            double maxSlotFraction,
            double maxMemoryFraction,
            double idleSlotFraction,
            double maxChangingFraction,
            int toleratedAbsent) {}

    /** The figures that all programs use. */
    public static final RoutingParameters DEFAULTS = new RoutingParameters(
            new PrefillLoad(38, 2, 150, 400, 400),
            new DecodeLoad(2, 100, 80, 400),
            new QueueDelay(0.5, 400),
            new PromptSplit(4, 1.25, 1 / 32.0, 8, 0.5, 1 / 16.0),
            new Draw(0.25),
            new Ejection(3, 10_000, 500, 100, 3, 1_000),
            new HealthGossip(1_000, 250, 5_000, 16, 3_000, 1_024),
            new RetryBudgetUse(0.6, 0.8, 1.1),
            new FleetSizing(0.3, 6),
            new Backoff(40, 250, 2_000),
            new Hedging(2.5, 300, 2, 700, 2),
            new LastResort(2_000, 4, 8, 1.5, 150),
            new StagePlanning(0.25, 0.5, 0.8, 0.25, 0.1, 1));
}
