package dewplank.quota;

import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

/**
 * The token buckets of one control plane: one for each limited tenant of the configuration, with this control plane's
 * share of the tenant's rate and burst. The shares of all control planes add up to at most 1, so their buckets together
 * stay within the limits. For this reason a bucket loses its tokens when the share that filled it expires, and new
 * buckets are empty.
 *
 * <p>Not thread-safe; the control plane calls it on its event loop. No I/O; the caller passes the time with each call,
 * in milliseconds of the loop's clock.
 */
public final class QuotaBuckets {
    private final QuotaBounds bounds;
    private final Map<String, TenantLimit> limits = new HashMap<>();
    private final Map<String, TokenBucket> buckets = new HashMap<>();
    private double fraction;
    private double shareExpiresAtMs = Double.NEGATIVE_INFINITY;

    /** Creates a set of buckets that has no tenants and no share yet. */
    public QuotaBuckets(QuotaBounds bounds) {
        this.bounds = bounds;
    }

    /**
     * Applies the limits of a configuration. Removes the buckets of tenants that it does not contain or does not limit;
     * a tenant that is added again starts with an empty bucket.
     *
     * @param nowMs the current time on the loop's clock
     * @param newLimits one entry for each tenant, limited or not
     */
    public void updateLimits(double nowMs, Collection<TenantLimit> newLimits) {
        expireShare(nowMs);
        limits.clear();
        Set<String> limited = new HashSet<>();
        for (TenantLimit limit : newLimits) {
            limits.put(limit.tenant(), limit);
            if (limit.isLimited()) {
                limited.add(limit.tenant());
                buckets.computeIfAbsent(limit.tenant(), tenant -> new TokenBucket(nowMs));
            }
        }
        buckets.keySet().retainAll(limited);
        configureBuckets(nowMs);
    }

    /**
     * Sets this control plane's share of all limits. The caller calls this for each grant. If the previous share has
     * expired by then, its tokens are lost.
     *
     * @param nowMs the current time on the loop's clock
     * @param newFraction the share, from 0 to 1; 0 empties all buckets
     * @param expiresAtMs when the share expires, on the loop's clock, unless another call replaces it earlier
     */
    public void updateShare(double nowMs, double newFraction, double expiresAtMs) {
        expireShare(nowMs);
        fraction = nowMs < expiresAtMs ? newFraction : 0;
        shareExpiresAtMs = expiresAtMs;
        configureBuckets(nowMs);
    }

    /**
     * Takes up to the requested number of tokens from a tenant's bucket.
     *
     * @param nowMs the current time on the loop's clock
     * @param tenant the tenant's name
     * @param tokens the requested number of tokens, at least 1
     */
    public TakeResult take(double nowMs, String tenant, int tokens) {
        expireShare(nowMs);
        TenantLimit limit = limits.get(tenant);
        if (limit == null) {
            return new TakeResult.UnknownTenant();
        }
        if (!limit.isLimited()) {
            return new TakeResult.Unlimited();
        }
        if (fraction <= 0) {
            return new TakeResult.NoShare();
        }
        TokenBucket bucket = buckets.get(tenant);
        int taken = bucket.tryTake(nowMs, tokens);
        return taken > 0 ? new TakeResult.Granted(taken) : new TakeResult.Exhausted(bucket.nextTokenAfterMs(nowMs));
    }

    /** The number of buckets, which is the number of limited tenants. */
    int size() {
        return buckets.size();
    }

    private void expireShare(double nowMs) {
        if (fraction > 0 && nowMs >= shareExpiresAtMs) {
            fraction = 0;
            configureBuckets(nowMs);
        }
    }

    private void configureBuckets(double nowMs) {
        for (Map.Entry<String, TokenBucket> entry : buckets.entrySet()) {
            TenantLimit limit = limits.get(entry.getKey());
            double tokensPerMs = fraction * limit.ratePerMs() * bounds.rateFraction();
            double capacity = fraction * (limit.burst() + bounds.extraCapacity());
            entry.getValue().configure(nowMs, tokensPerMs, capacity);
        }
    }
}
