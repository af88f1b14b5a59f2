package dewplank.quota;

/**
 * A token bucket, as in Turner, "New Directions in Communications" (1986): it fills at a constant rate up to its
 * capacity, and each grant removes whole tokens. A new bucket is empty, so that it cannot grant tokens again that a
 * previous bucket has already granted.
 *
 * <p>Not thread-safe. No I/O; the caller passes the time with each call, in milliseconds of one monotonic clock.
 */
public final class TokenBucket {
    private double tokensPerMs;
    private double capacity;
    private double level;
    private double refilledAtMs;

    /**
     * Creates an empty bucket that stays empty until it is configured.
     *
     * @param nowMs the current time on the caller's monotonic clock
     */
    public TokenBucket(double nowMs) {
        refilledAtMs = nowMs;
    }

    /**
     * Sets the rate and the capacity from now on; tokens above the new capacity are lost.
     *
     * @param nowMs the current time on the caller's monotonic clock
     * @param tokensPerMs the rate
     * @param capacity the largest number of tokens in the bucket; below 1 the bucket grants nothing
     */
    public void configure(double nowMs, double tokensPerMs, double capacity) {
        refill(nowMs);
        this.tokensPerMs = tokensPerMs;
        this.capacity = capacity;
        level = Math.min(level, capacity);
    }

    /**
     * Takes the requested number of tokens, or all whole tokens if there are fewer.
     *
     * @param nowMs the current time on the caller's monotonic clock
     * @param tokens the requested number
     * @return the number of tokens taken
     */
    public int tryTake(double nowMs, int tokens) {
        refill(nowMs);
        int taken = (int) Math.min(tokens, Math.floor(level));
        level -= taken;
        return taken;
    }

    /**
     * The time in milliseconds until the bucket contains a whole token; infinity if its rate or capacity prevents that.
     *
     * @param nowMs the current time on the caller's monotonic clock
     */
    public double nextTokenAfterMs(double nowMs) {
        refill(nowMs);
        if (level >= 1) {
            return 0;
        }
        if (tokensPerMs <= 0 || capacity < 1) {
            return Double.POSITIVE_INFINITY;
        }
        return (1 - level) / tokensPerMs;
    }

    private void refill(double nowMs) {
        double elapsedMs = Math.max(0, nowMs - refilledAtMs);
        level = Math.min(capacity, level + elapsedMs * tokensPerMs);
        refilledAtMs = Math.max(refilledAtMs, nowMs);
    }
}
