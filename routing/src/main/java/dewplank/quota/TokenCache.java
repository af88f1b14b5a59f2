package dewplank.quota;

import java.util.ArrayDeque;
import java.util.Comparator;
import java.util.PriorityQueue;

/**
 * A data plane's tokens of one limited tenant, and the number of tokens to request next. A token expires when its
 * lifetime has passed since it was requested. If this data plane receives many requests of the tenant, it requests
 * several tokens at once, so that not every request waits for a round trip to a control plane. After a control plane
 * reported that no token is left, requests are rejected for a while without another query.
 *
 * <p>Not thread-safe; the data plane calls it on its event loop. No I/O; the caller passes the time with each call, in
 * milliseconds of the loop's clock.
 */
public final class TokenCache {
    /**
     * Maximum number of tokens to request at once. It limits how many tokens one data plane takes from a bucket that
     * all data planes share, regardless of the tenant's rate.
     */
    static final int MAX_TOKENS_PER_REQUEST = 64;
    /**
     * Maximum time, in milliseconds, for which the reply that no token is left is used, because limits and shares may
     * increase meanwhile.
     */
    static final double MAX_EXHAUSTED_MS = 1_000;
    /** Fraction of a token's lifetime over which load is measured; tokens for this load are used before they expire. */
    private static final double LOAD_WINDOW_FRACTION = 1.0 / 4;

    /** Tokens that were requested together. */
    private static final class Batch {
        private final double expiresAtMs;
        private int tokens;

        private Batch(int tokens, double expiresAtMs) {
            this.tokens = tokens;
            this.expiresAtMs = expiresAtMs;
        }
    }

    private final double lifetimeMs;
    private final PriorityQueue<Batch> batches =
            new PriorityQueue<>(Comparator.comparingDouble((Batch batch) -> batch.expiresAtMs));
    private final ArrayDeque<Double> requestsAtMs = new ArrayDeque<>();
    private double exhaustedUntilMs = Double.NEGATIVE_INFINITY;

    /**
     * Creates an instance without tokens.
     *
     * @param lifetimeMs how long a token may be used after it was requested ({@link QuotaBounds#tokenLifetimeMs})
     */
    public TokenCache(double lifetimeMs) {
        this.lifetimeMs = lifetimeMs;
    }

    /**
     * Records that a request of the tenant arrived. The caller calls this once for each request, before it takes or
     * requests a token.
     *
     * @param nowMs the current time on the loop's clock
     */
    public void recordRequest(double nowMs) {
        requestsAtMs.addLast(nowMs);
        evictRequests(nowMs);
    }

    /**
     * Takes a token for one request; returns false if none is left.
     *
     * @param nowMs the current time on the loop's clock
     */
    public boolean tryTake(double nowMs) {
        evictBatches(nowMs);
        Batch batch = batches.peek();
        if (batch == null) {
            return false;
        }
        batch.tokens--;
        if (batch.tokens == 0) {
            batches.remove();
        }
        return true;
    }

    /**
     * Adds tokens that a control plane granted. An earlier reply that no token is left no longer applies.
     *
     * @param nowMs the current time on the loop's clock
     * @param tokens the number of tokens granted
     * @param requestedAtMs when the tokens were requested, on the loop's clock; their lifetime starts then
     */
    public void add(double nowMs, int tokens, double requestedAtMs) {
        evictBatches(nowMs);
        double expiresAtMs = requestedAtMs + lifetimeMs;
        if (tokens > 0 && nowMs < expiresAtMs) {
            batches.add(new Batch(tokens, expiresAtMs));
            exhaustedUntilMs = Double.NEGATIVE_INFINITY;
        }
    }

    /**
     * The number of tokens to request when none is left: one for the current request, and one for each other request of
     * the tenant that arrived here within the last quarter of a token's lifetime. At a steady load these tokens last
     * for about another quarter of the lifetime, so most granted tokens are used.
     *
     * @param nowMs the current time on the loop's clock
     */
    public int tokensToRequest(double nowMs) {
        evictRequests(nowMs);
        return Math.max(1, requestsAtMs.size());
    }

    /**
     * Records that a control plane found no token in any bucket.
     *
     * @param nowMs the current time on the loop's clock
     * @param nextTokenAfterMs the time in milliseconds until a token will be available
     */
    public void recordExhausted(double nowMs, double nextTokenAfterMs) {
        exhaustedUntilMs = nowMs + Math.min(nextTokenAfterMs, MAX_EXHAUSTED_MS);
    }

    /**
     * Whether requests without a token have to be rejected without querying a control plane.
     *
     * @param nowMs the current time on the loop's clock
     */
    public boolean isExhausted(double nowMs) {
        return nowMs < exhaustedUntilMs;
    }

    /**
     * Until when the last reply that no token is left is used, on the loop's clock; negative infinity if there was none
     * since the last grant.
     */
    public double exhaustedUntilMs() {
        return exhaustedUntilMs;
    }

    private void evictBatches(double nowMs) {
        while (!batches.isEmpty() && nowMs >= batches.peek().expiresAtMs) {
            batches.remove();
        }
    }

    private void evictRequests(double nowMs) {
        double windowStartMs = nowMs - lifetimeMs * LOAD_WINDOW_FRACTION;
        while (!requestsAtMs.isEmpty()
                && (requestsAtMs.peekFirst() < windowStartMs || requestsAtMs.size() > MAX_TOKENS_PER_REQUEST)) {
            requestsAtMs.removeFirst();
        }
    }
}
