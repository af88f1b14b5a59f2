package dewplank.quota;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class QuotaTermsTest {
    private static final double WINDOW_MS = 5_000;

    @Test
    void anOvershootOfATenthCoversLifetimeAndClockDrift() {
        QuotaTerms terms = new QuotaTerms(WINDOW_MS, 0.1, 20);
        assertEquals(384.3, terms.tokenLifetimeMs(), 0.1);
        assertEquals(1, terms.rateFraction(), 1e-9);
    }

    @Test
    void withoutOvershootTokensHaveTheMinimumLifetimeAndBucketsFillSlower() {
        QuotaTerms terms = new QuotaTerms(WINDOW_MS, 0, 20);
        assertEquals(100, terms.tokenLifetimeMs());
        assertEquals(0.96, terms.rateFraction(), 0.01);
    }

    /**
     * With the largest clock drift, the tokens that buckets receive within a window plus a token's lifetime stay within
     * the rate plus its overshoot.
     */
    @ParameterizedTest
    @ValueSource(doubles = {0, 0.01, 0.02, 0.04, 0.1, 0.5, 2})
    void theRateStaysWithinItsBoundWithTheLargestClockDrift(double overshoot) {
        QuotaTerms terms = new QuotaTerms(WINDOW_MS, overshoot, 0);
        double drift = ShareLease.MAX_CLOCK_DRIFT;
        double spanMs = WINDOW_MS + terms.tokenLifetimeMs() / (1 - drift);
        assertTrue(terms.rateFraction() * (1 + drift) * spanMs <= WINDOW_MS * (1 + overshoot) + 1e-9);
    }
}
