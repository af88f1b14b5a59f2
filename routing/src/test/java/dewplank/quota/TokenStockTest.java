package dewplank.quota;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

class TokenStockTest {
    private static final double LIFETIME_MS = 400;

    private final TokenStock stock = new TokenStock(LIFETIME_MS);

    @Test
    void tokensExpireOneLifetimeAfterTheyWereRequested() {
        assertFalse(stock.tryTake(0));
        stock.add(100, 2, 50);
        assertTrue(stock.tryTake(449));
        assertFalse(stock.tryTake(450));
    }

    @Test
    void tokensThatArriveAfterTheirLifetimeAreDropped() {
        stock.add(450, 3, 50);
        assertFalse(stock.tryTake(450));
    }

    @Test
    void eachTokenIsTakenOnce() {
        stock.add(0, 2, 0);
        assertTrue(stock.tryTake(1));
        assertTrue(stock.tryTake(1));
        assertFalse(stock.tryTake(1));
    }

    @Test
    void theTokensThatExpireFirstAreTakenFirst() {
        stock.add(100, 1, 90);
        stock.add(100, 1, 10);
        assertTrue(stock.tryTake(200));
        assertTrue(stock.tryTake(450), "the token of the earlier request was taken");
    }

    @Test
    void requestsATokenForEachArrivalWithinAQuarterOfTheLifetime() {
        assertEquals(1, stock.tokensToRequest(0));
        stock.recordRequest(0);
        assertEquals(1, stock.tokensToRequest(0));
        stock.recordRequest(50);
        stock.recordRequest(90);
        assertEquals(3, stock.tokensToRequest(90));
        assertEquals(2, stock.tokensToRequest(101));
        assertEquals(1, stock.tokensToRequest(1_000));
    }

    @Test
    void requestsNoMoreTokensThanItsMaximum() {
        for (int request = 0; request < 1_000; request++) {
            stock.recordRequest(request * 0.01);
        }
        assertEquals(TokenStock.MAX_TOKENS_PER_REQUEST, stock.tokensToRequest(10));
    }

    @Test
    void anExhaustedReplyIsUsedForTheReportedTime() {
        assertFalse(stock.isRefused(0));
        stock.recordRefusal(100, 250);
        assertTrue(stock.isRefused(349));
        assertEquals(350, stock.refusedUntilMs());
        assertFalse(stock.isRefused(350));
    }

    @Test
    void anExhaustedReplyIsUsedForALimitedTime() {
        stock.recordRefusal(0, Double.POSITIVE_INFINITY);
        assertTrue(stock.isRefused(TokenStock.MAX_REFUSAL_MS - 1));
        assertFalse(stock.isRefused(TokenStock.MAX_REFUSAL_MS));
    }

    @Test
    void grantedTokensOverrideAnExhaustedReply() {
        stock.recordRefusal(0, 900);
        stock.add(10, 1, 5);
        assertFalse(stock.isRefused(10));
    }
}
