package dewplank.quota;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;

import java.util.List;
import org.junit.jupiter.api.Test;

class QuotaBucketsTest {
    private static final QuotaBounds BOUNDS = new QuotaBounds(5_000, 0.1, 20);
    private static final TenantLimit LIMIT = new TenantLimit("crew", 100, 30);
    private static final double LONG_MS = 1e9;

    private final QuotaBuckets buckets = new QuotaBuckets(BOUNDS);

    private int granted(double nowMs, int tokens) {
        return buckets.take(nowMs, "crew", tokens) instanceof TakeResult.Granted granted ? granted.tokens() : 0;
    }

    @Test
    void aShareAppliesToRateAndCapacity() {
        buckets.updateLimits(0, List.of(LIMIT));
        buckets.updateShare(0, 0.25, LONG_MS);
        assertEquals(new TakeResult.Exhausted(40), buckets.take(0, "crew", 1));
        assertEquals(new TakeResult.Granted(2), buckets.take(100, "crew", 5));
        assertEquals(10, granted(10_000, 100), "a quarter of the burst and a quarter of half the slack");
    }

    @Test
    void withoutAShareNothingIsGranted() {
        buckets.updateLimits(0, List.of(LIMIT));
        assertInstanceOf(TakeResult.NoShare.class, buckets.take(1_000, "crew", 1));
        buckets.updateShare(1_000, 0.5, 1_000);
        assertInstanceOf(TakeResult.NoShare.class, buckets.take(1_000, "crew", 1));
    }

    @Test
    void aShareOfZeroEmptiesTheBuckets() {
        buckets.updateLimits(0, List.of(LIMIT));
        buckets.updateShare(0, 1, LONG_MS);
        buckets.updateShare(10_000, 0, LONG_MS);
        buckets.updateShare(10_000, 1, LONG_MS);
        assertEquals(0, granted(10_000, 100));
    }

    @Test
    void tokensExpireWithTheShareEvenWithoutARequestInBetween() {
        buckets.updateLimits(0, List.of(LIMIT));
        buckets.updateShare(0, 1, 4_000);
        buckets.updateShare(9_000, 1, 13_000);
        assertEquals(0, granted(9_000, 100));
        assertEquals(1, granted(9_011, 100));
    }

    @Test
    void aRenewedShareKeepsItsTokens() {
        buckets.updateLimits(0, List.of(LIMIT));
        buckets.updateShare(0, 1, 4_000);
        buckets.updateShare(3_999, 1, 8_000);
        assertEquals(40, granted(4_000, 100));
    }

    @Test
    void aSmallerShareLosesTokensAboveItsCapacity() {
        buckets.updateLimits(0, List.of(LIMIT));
        buckets.updateShare(0, 1, LONG_MS);
        buckets.updateShare(10_000, 0.5, LONG_MS);
        assertEquals(20, granted(10_000, 100));
    }

    @Test
    void unlimitedAndUnknownTenantsGetDifferentResults() {
        buckets.updateLimits(0, List.of(LIMIT, new TenantLimit("kitchen", 0, 5)));
        assertInstanceOf(TakeResult.Unlimited.class, buckets.take(0, "kitchen", 1));
        assertInstanceOf(TakeResult.UnknownTenant.class, buckets.take(0, "pilot", 1));
        assertEquals(1, buckets.size());
    }

    @Test
    void aTenantThatIsAddedAgainStartsEmpty() {
        buckets.updateLimits(0, List.of(LIMIT));
        buckets.updateShare(0, 1, LONG_MS);
        buckets.updateLimits(10_000, List.of());
        assertInstanceOf(TakeResult.UnknownTenant.class, buckets.take(10_000, "crew", 1));
        assertEquals(0, buckets.size());
        buckets.updateLimits(10_000, List.of(LIMIT));
        assertEquals(0, granted(10_000, 100));
    }

    @Test
    void aTenantThatBecomesLimitedStartsEmpty() {
        buckets.updateLimits(0, List.of(new TenantLimit("crew", 0, 30)));
        buckets.updateShare(0, 1, LONG_MS);
        buckets.updateLimits(10_000, List.of(LIMIT));
        assertEquals(0, granted(10_000, 100));
    }

    @Test
    void anUnchangedLimitKeepsItsTokens() {
        buckets.updateLimits(0, List.of(LIMIT));
        buckets.updateShare(0, 1, LONG_MS);
        buckets.updateLimits(10_000, List.of(LIMIT, new TenantLimit("pilot", 1, 1)));
        assertEquals(40, granted(10_000, 100));
    }
}
