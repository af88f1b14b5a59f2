package dewplank.routing;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.api.Test;

/** Checks each value by name, because constructors with several numbers in a row do not detect swapped arguments. */
class RoutingParametersTest {
    private static final RoutingParameters DEFAULTS = RoutingParameters.DEFAULTS;

    @Test
    void serverLoadParametersHaveTheDocumentedValues() {
        assertEquals(38, DEFAULTS.prefillLoad().tokensPerMs());
        assertEquals(2, DEFAULTS.prefillLoad().cachedPrefixCredit());
        assertEquals(150, DEFAULTS.prefillLoad().stalledAfterMs());
        assertEquals(400, DEFAULTS.prefillLoad().stalledPenaltyMs());
        assertEquals(400, DEFAULTS.prefillLoad().tokensPerPriorityLevel());
        assertEquals(2, DEFAULTS.decodeLoad().prefillSlowdown());
        assertEquals(100, DEFAULTS.decodeLoad().requestTokens());
        assertEquals(80, DEFAULTS.decodeLoad().connectionTokens());
        assertEquals(400, DEFAULTS.decodeLoad().crossZoneTokens());
        assertEquals(0.5, DEFAULTS.queueDelay().sampleWeight());
        assertEquals(400, DEFAULTS.queueDelay().decayMs());
        assertEquals(0.25, DEFAULTS.draw().crossZoneWeight());
    }

    @Test
    void promptSplitParametersHaveTheDocumentedValues() {
        assertEquals(4, DEFAULTS.promptSplit().minServers());
        assertEquals(1.25, DEFAULTS.promptSplit().shortServerRatio());
        assertEquals(0.03125, DEFAULTS.promptSplit().sampleWeight());
        assertEquals(8, DEFAULTS.promptSplit().minPrompts());
        assertEquals(0.5, DEFAULTS.promptSplit().shortLengthFraction());
        assertEquals(0.0625, DEFAULTS.promptSplit().fractionStep());
    }

    @Test
    void ejectionAndHealthGossipParametersHaveTheDocumentedValues() {
        assertEquals(3, DEFAULTS.ejection().minFailures());
        assertEquals(10_000, DEFAULTS.ejection().outcomeWindowMs());
        assertEquals(500, DEFAULTS.ejection().outdatedAfterMs());
        assertEquals(100, DEFAULTS.ejection().decisionValidMs());
        assertEquals(3, DEFAULTS.ejection().trialsPerSecond());
        assertEquals(1_000, DEFAULTS.ejection().minTrialIntervalMs());
        assertEquals(1_000, DEFAULTS.healthGossip().intervalMs());
        assertEquals(250, DEFAULTS.healthGossip().changeIntervalMs());
        assertEquals(5_000, DEFAULTS.healthGossip().successValidMs());
        assertEquals(16, DEFAULTS.healthGossip().maxPeersPerRound());
        assertEquals(3_000, DEFAULTS.healthGossip().summaryValidMs());
        assertEquals(1_024, DEFAULTS.healthGossip().maxPeers());
    }

    @Test
    void stagePlanningParametersHaveTheDocumentedValues() {
        assertEquals(0.25, DEFAULTS.stagePlanning().minDecodeFraction());
        assertEquals(0.5, DEFAULTS.stagePlanning().maxSlotFraction());
        assertEquals(0.8, DEFAULTS.stagePlanning().maxMemoryFraction());
        assertEquals(0.25, DEFAULTS.stagePlanning().idleSlotFraction());
        assertEquals(0.1, DEFAULTS.stagePlanning().maxChangingFraction());
        assertEquals(1, DEFAULTS.stagePlanning().maxMissingDecodeServers());
    }

    @Test
    void retryBackoffAndHedgingParametersHaveTheDocumentedValues() {
        assertEquals(0.6, DEFAULTS.retryBudget().slackFraction());
        assertEquals(0.8, DEFAULTS.retryBudget().ratioFraction());
        assertEquals(1.1, DEFAULTS.retryBudget().windowFactor());
        assertEquals(0.3, DEFAULTS.fleetSize().settleFraction());
        assertEquals(6, DEFAULTS.fleetSize().retainedWindows());
        assertEquals(40, DEFAULTS.backoff().rejectedMs());
        assertEquals(250, DEFAULTS.backoff().unreachableMs());
        assertEquals(2_000, DEFAULTS.backoff().maxMs());
        assertEquals(2.5, DEFAULTS.hedging().plainTargetFactor());
        assertEquals(300, DEFAULTS.hedging().prefillMs());
        assertEquals(2, DEFAULTS.hedging().prefillFactor());
        assertEquals(700, DEFAULTS.hedging().streamMs());
        assertEquals(2, DEFAULTS.hedging().firstEventFactor());
        assertEquals(2_000, DEFAULTS.decodePrefillDeadline().minClientTimeoutMs());
        assertEquals(4, DEFAULTS.decodePrefillDeadline().clientTimeoutTargetFactor());
        assertEquals(8, DEFAULTS.decodePrefillDeadline().clientTimeoutGapFactor());
        assertEquals(1.5, DEFAULTS.decodePrefillDeadline().prefillFactor());
        assertEquals(150, DEFAULTS.decodePrefillDeadline().firstEventMs());
    }
}
