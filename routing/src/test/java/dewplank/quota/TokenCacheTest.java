package dewplank.quota;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

class TokenCacheTest {
    private static final double LIFETIME_MS = 400;

    private final TokenCache cache = new TokenCache(LIFETIME_MS);

    @Test
    void tokensExpireOneLifetimeAfterTheyWereRequested() {
        assertFalse(cache.tryTake(0));
        cache.add(100, 2, 50);
        assertTrue(cache.tryTake(449));
        assertFalse(cache.tryTake(450));
    }

    @Test
    void tokensThatArriveAfterTheirLifetimeAreDropped() {
        cache.add(450, 3, 50);
        assertFalse(cache.tryTake(450));
    }

    @Test
    void eachTokenIsTakenOnce() {
        cache.add(0, 2, 0);
        assertTrue(cache.tryTake(1));
        assertTrue(cache.tryTake(1));
        assertFalse(cache.tryTake(1));
    }

    @Test
    void theTokensThatExpireFirstAreTakenFirst() {
        cache.add(100, 1, 90);
        cache.add(100, 1, 10);
        assertTrue(cache.tryTake(200));
        assertTrue(cache.tryTake(450), "the token of the earlier request was taken");
    }

    @Test
    void requestsATokenForEachArrivalWithinAQuarterOfTheLifetime() {
        assertEquals(1, cache.tokensToRequest(0));
        cache.recordRequest(0);
        assertEquals(1, cache.tokensToRequest(0));
        cache.recordRequest(50);
        cache.recordRequest(90);
        assertEquals(3, cache.tokensToRequest(90));
        assertEquals(2, cache.tokensToRequest(101));
        assertEquals(1, cache.tokensToRequest(1_000));
    }

    @Test
    void requestsNoMoreTokensThanItsMaximum() {
        for (int request = 0; request < 1_000; request++) {
            cache.recordRequest(request * 0.01);
        }
        assertEquals(TokenCache.MAX_TOKENS_PER_REQUEST, cache.tokensToRequest(10));
    }

    @Test
    void anExhaustedReplyIsUsedForTheReportedTime() {
        assertFalse(cache.isExhausted(0));
        cache.recordExhausted(100, 250);
        assertTrue(cache.isExhausted(349));
        assertEquals(350, cache.exhaustedUntilMs());
        assertFalse(cache.isExhausted(350));
    }

    @Test
    void anExhaustedReplyIsUsedForALimitedTime() {
        cache.recordExhausted(0, Double.POSITIVE_INFINITY);
        assertTrue(cache.isExhausted(TokenCache.MAX_EXHAUSTED_MS - 1));
        assertFalse(cache.isExhausted(TokenCache.MAX_EXHAUSTED_MS));
    }

    @Test
    void grantedTokensOverrideAnExhaustedReply() {
        cache.recordExhausted(0, 900);
        cache.add(10, 1, 5);
        assertFalse(cache.isExhausted(10));
    }
}
