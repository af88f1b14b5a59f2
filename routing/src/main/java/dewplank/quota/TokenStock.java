package dewplank.quota;

import java.util.ArrayDeque;
import java.util.Comparator;
import java.util.PriorityQueue;

/**
 * The tokens of one limited tenant that a data plane holds, each until its lifetime after it was asked for, and how
 * many to ask for next. A tenant of which this data plane sees many requests gets several tokens at once, so that not
 * every request waits for a round trip to a control plane. A refusal is remembered, so that the requests that follow
 * it ask nobody.
 *
 * <p>Not thread-safe; the data plane calls it on its event loop. No I/O; time is given with each call, in milliseconds
 * of the loop's clock.
 */
public final class TokenStock {
    /** However large a tenant's rate: no data plane takes more than this out of a bucket that all of them share. */
    static final int MAX_TOKENS_PER_REQUEST = 64;
    /** A refusal is forgotten after it, in milliseconds, as limits and shares may have grown. */
    static final double MAX_REFUSAL_MS = 1_000;
    /** Of a token's lifetime: what is asked for by the load of so long is used up well before it ends. */
    private static final double LOAD_WINDOW_FRACTION = 1.0 / 4;

    /** Tokens that were asked for together. */
    private static final class Batch {
        private final double endsAtMs;
        private int tokens;

        private Batch(int tokens, double endsAtMs) {
            this.tokens = tokens;
            this.endsAtMs = endsAtMs;
        }
    }

    private final double lifetimeMs;
    private final PriorityQueue<Batch> batches =
            new PriorityQueue<>(Comparator.comparingDouble((Batch batch) -> batch.endsAtMs));
    private final ArrayDeque<Double> requestsAtMs = new ArrayDeque<>();
    private double refusedUntilMs = Double.NEGATIVE_INFINITY;

    /**
     * An empty stock.
     *
     * @param lifetimeMs how long a token may be used, from when it was asked for ({@link QuotaTerms#tokenLifetimeMs})
     */
    public TokenStock(double lifetimeMs) {
        this.lifetimeMs = lifetimeMs;
    }

    /**
     * A request of the tenant arrived; to be called once for each, before a token is taken or asked for.
     *
     * @param nowMs the time by the loop's clock
     */
    public void recordRequest(double nowMs) {
        requestsAtMs.addLast(nowMs);
        evictRequests(nowMs);
    }

    /**
     * Takes a token for one request; false where none is left.
     *
     * @param nowMs the time by the loop's clock
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
     * Adds tokens that a control plane granted; they end a refusal.
     *
     * @param nowMs the time by the loop's clock
     * @param tokens how many were granted
     * @param requestedAtMs when they were asked for, by the loop's clock; their lifetime counts from then
     */
    public void add(double nowMs, int tokens, double requestedAtMs) {
        evictBatches(nowMs);
        double endsAtMs = requestedAtMs + lifetimeMs;
        if (tokens > 0 && nowMs < endsAtMs) {
            batches.add(new Batch(tokens, endsAtMs));
            refusedUntilMs = Double.NEGATIVE_INFINITY;
        }
    }

    /**
     * How many tokens to ask for when none is left: one for the request at hand, and one for each other request of the
     * tenant that arrived here within the last quarter of a token's lifetime. At a steady load that lasts for about the
     * next quarter, so a token that is granted is mostly used.
     *
     * @param nowMs the time by the loop's clock
     */
    public int tokensToRequest(double nowMs) {
        evictRequests(nowMs);
        return Math.max(1, requestsAtMs.size());
    }

    /**
     * A control plane found no token in any bucket.
     *
     * @param nowMs the time by the loop's clock
     * @param untilNextMs in how many milliseconds there will be one
     */
    public void recordRefusal(double nowMs, double untilNextMs) {
        refusedUntilMs = nowMs + Math.min(untilNextMs, MAX_REFUSAL_MS);
    }

    /**
     * Whether requests without a token are to be refused here, without asking a control plane.
     *
     * @param nowMs the time by the loop's clock
     */
    public boolean isRefused(double nowMs) {
        return nowMs < refusedUntilMs;
    }

    /** When the last refusal ends, by the loop's clock; negative infinity where there was none since the last grant. */
    public double refusedUntilMs() {
        return refusedUntilMs;
    }

    private void evictBatches(double nowMs) {
        while (!batches.isEmpty() && nowMs >= batches.peek().endsAtMs) {
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
