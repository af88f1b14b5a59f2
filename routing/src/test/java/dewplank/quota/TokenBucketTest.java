package dewplank.quota;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.api.Test;

class TokenBucketTest {
    private static TokenBucket bucketAt(double nowMs, double tokensPerMs, double capacity) {
        TokenBucket bucket = new TokenBucket(nowMs);
        bucket.configure(nowMs, tokensPerMs, capacity);
        return bucket;
    }

    @Test
    void startsEmptyAndFillsAtItsRate() {
        TokenBucket bucket = bucketAt(1_000, 0.01, 5);
        assertEquals(0, bucket.tryTake(1_000, 1));
        assertEquals(100, bucket.nextTokenAfterMs(1_000), 1e-9);
        assertEquals(0, bucket.tryTake(1_099, 1));
        assertEquals(1, bucket.tryTake(1_101, 1));
    }

    @Test
    void containsNoMoreThanItsCapacity() {
        TokenBucket bucket = bucketAt(0, 0.01, 2.5);
        assertEquals(2, bucket.tryTake(1e9, 10));
        assertEquals(50, bucket.nextTokenAfterMs(1e9), 1e-6);
    }

    @Test
    void grantsAsManyWholeTokensAsItHas() {
        TokenBucket bucket = bucketAt(0, 0.01, 10);
        assertEquals(2, bucket.tryTake(290, 3));
        assertEquals(0, bucket.tryTake(290, 3));
        assertEquals(3, bucket.tryTake(750, 3));
        assertEquals(0, bucket.nextTokenAfterMs(900));
    }

    @Test
    void tokensAboveAReducedCapacityAreLost() {
        TokenBucket bucket = bucketAt(0, 0.01, 10);
        bucket.configure(1_000, 0.01, 3);
        bucket.configure(1_000, 0.01, 10);
        assertEquals(3, bucket.tryTake(1_000, 10));
    }

    @Test
    void aNewRateAppliesFromItsConfigurationOn() {
        TokenBucket bucket = bucketAt(0, 0.01, 100);
        bucket.configure(1_000, 0.02, 100);
        assertEquals(30, bucket.tryTake(2_000.001, 100));
    }

    @Test
    void grantsNothingWithoutARateOrWithACapacityBelowOne() {
        assertEquals(Double.POSITIVE_INFINITY, bucketAt(0, 0, 5).nextTokenAfterMs(1_000));
        assertEquals(Double.POSITIVE_INFINITY, bucketAt(0, 1, 0.9).nextTokenAfterMs(1_000));
        assertEquals(0, bucketAt(0, 1, 0.9).tryTake(1_000, 1));
    }

    @Test
    void anEarlierTimeAddsNoTokens() {
        TokenBucket bucket = bucketAt(1_000, 0.01, 10);
        assertEquals(0, bucket.tryTake(0, 1));
        assertEquals(1, bucket.tryTake(1_101, 10));
    }
}
