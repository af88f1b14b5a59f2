package dewplank.quota;

import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

/**
 * One control plane's token buckets: one for each limited tenant of the configuration, with this control plane's share
 * of the tenant's rate and burst. The shares of all control planes add up to at most 1, so their buckets together keep
 * to the limits; therefore a bucket's tokens are lost with the share that they came from, and all buckets begin empty.
 *
 * <p>Not thread-safe; the control plane calls it on its event loop. No I/O; time is given with each call, in
 * milliseconds of the loop's clock.
 */
public final class QuotaBuckets {
    private final QuotaTerms terms;
    private final Map<String, TenantLimit> limits = new HashMap<>();
    private final Map<String, TokenBucket> buckets = new HashMap<>();
    private double fraction;
    private double shareEndsAtMs = Double.NEGATIVE_INFINITY;

    /** Without tenants and without a share. */
    public QuotaBuckets(QuotaTerms terms) {
        this.terms = terms;
    }

    /**
     * Takes the limits of a configuration. The buckets of tenants that it has no more, or does not limit, are dropped;
     * a tenant that comes back begins with an empty one.
     *
     * @param nowMs the time by the loop's clock
     * @param newLimits one for each tenant, limited or not
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
     * Takes this control plane's share of all limits. To be called for each grant of it; a share that ended before
     * that took its tokens with it.
     *
     * @param nowMs the time by the loop's clock
     * @param newFraction the share, from 0 to 1; 0 empties all buckets
     * @param endsAtMs when it ends, by the loop's clock, unless another call comes before
     */
    public void updateShare(double nowMs, double newFraction, double endsAtMs) {
        expireShare(nowMs);
        fraction = nowMs < endsAtMs ? newFraction : 0;
        shareEndsAtMs = endsAtMs;
        configureBuckets(nowMs);
    }

    /**
     * Takes tokens of a tenant, as many as there are up to the number wanted.
     *
     * @param nowMs the time by the loop's clock
     * @param tenant the tenant's name
     * @param tokens how many are wanted, at least 1
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
        return taken > 0 ? new TakeResult.Granted(taken) : new TakeResult.Exhausted(bucket.untilNextMs(nowMs));
    }

    /** How many buckets there are: one for each limited tenant. */
    int size() {
        return buckets.size();
    }

    private void expireShare(double nowMs) {
        if (fraction > 0 && nowMs >= shareEndsAtMs) {
            fraction = 0;
            configureBuckets(nowMs);
        }
    }

    private void configureBuckets(double nowMs) {
        for (Map.Entry<String, TokenBucket> entry : buckets.entrySet()) {
            TenantLimit limit = limits.get(entry.getKey());
            double tokensPerMs = fraction * limit.ratePerMs() * terms.rateFraction();
            double capacity = fraction * (limit.burst() + terms.extraCapacity());
            entry.getValue().configure(nowMs, tokensPerMs, capacity);
        }
    }
}
