package dewplank.quota;

/**
 * A token bucket, as in Turner, "New Directions in Communications" (1986): tokens come in at a steady rate up to a
 * capacity, and what is granted takes whole tokens out. It begins empty, so that a bucket made anew gives nothing that
 * an earlier one gave already.
 *
 * <p>Not thread-safe. No I/O; time is given with each call, in milliseconds of one steady clock.
 */
public final class TokenBucket {
    private double tokensPerMs;
    private double capacity;
    private double level;
    private double refilledAtMs;

    /**
     * An empty bucket that stays empty until it is configured.
     *
     * @param nowMs the time by the caller's steady clock
     */
    public TokenBucket(double nowMs) {
        refilledAtMs = nowMs;
    }

    /**
     * Sets the rate and the capacity from now on; tokens above the new capacity are lost.
     *
     * @param nowMs the time by the caller's steady clock
     * @param tokensPerMs the rate
     * @param capacity the most that the bucket holds, in tokens; below 1 it grants nothing
     */
    public void configure(double nowMs, double tokensPerMs, double capacity) {
        refill(nowMs);
        this.tokensPerMs = tokensPerMs;
        this.capacity = capacity;
        level = Math.min(level, capacity);
    }

    /**
     * Takes so many tokens, or all whole ones that there are where these are fewer.
     *
     * @param nowMs the time by the caller's steady clock
     * @param tokens how many are wanted
     * @return how many were taken
     */
    public int tryTake(double nowMs, int tokens) {
        refill(nowMs);
        int taken = (int) Math.min(tokens, Math.floor(level));
        level -= taken;
        return taken;
    }

    /**
     * In how many milliseconds the bucket holds a whole token; infinity where it never does as it is configured.
     *
     * @param nowMs the time by the caller's steady clock
     */
    public double untilNextMs(double nowMs) {
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
