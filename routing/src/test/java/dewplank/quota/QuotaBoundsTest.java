package dewplank.quota;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class QuotaBoundsTest {
    private static final double WINDOW_MS = 5_000;

    @Test
    void anOvershootOfATenthCoversLifetimeAndClockDrift() {
        QuotaBounds bounds = new QuotaBounds(WINDOW_MS, 0.1, 20);
        assertEquals(384.3, bounds.tokenLifetimeMs(), 0.1);
        assertEquals(1, bounds.rateFraction(), 1e-9);
    }

    @Test
    void withoutOvershootTokensHaveTheMinimumLifetimeAndBucketsFillSlower() {
        QuotaBounds bounds = new QuotaBounds(WINDOW_MS, 0, 20);
        assertEquals(100, bounds.tokenLifetimeMs());
        assertEquals(0.96, bounds.rateFraction(), 0.01);
    }

    /**
     * With the largest clock drift, the tokens that buckets receive within a window plus a token's lifetime stay within
     * the rate plus its overshoot.
     */
    @ParameterizedTest
    @ValueSource(doubles = {0, 0.01, 0.02, 0.04, 0.1, 0.5, 2})
    void theRateStaysWithinItsBoundWithTheLargestClockDrift(double overshoot) {
        QuotaBounds bounds = new QuotaBounds(WINDOW_MS, overshoot, 0);
        double drift = ShareLease.MAX_CLOCK_DRIFT;
        double spanMs = WINDOW_MS + bounds.tokenLifetimeMs() / (1 - drift);
        assertTrue(bounds.rateFraction() * (1 + drift) * spanMs <= WINDOW_MS * (1 + overshoot) + 1e-9);
    }
}
