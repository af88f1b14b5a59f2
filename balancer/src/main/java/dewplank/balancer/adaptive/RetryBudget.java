package dewplank.balancer.adaptive;

import dewplank.balancer.Settings;

/**
 * Bounds retries and hedges together as a share of first attempts, by a token bucket, so that they cannot
 * multiply the load of an overloaded fleet ("Site Reliability Engineering", O'Reilly 2016, chapter 21).
 */
final class RetryBudget {
    private static final double TOKENS_PER_REQUEST = 0.2;
    private static final double MAX_TOKENS = 10;
    /** Attempts that may have run: stops a request that brings down each server that it meets. */
    private static final int MAX_RISKY_ATTEMPTS = 2;

    private final Settings settings;
    private double tokens = MAX_TOKENS;

    RetryBudget(Settings settings) {
        this.settings = settings;
    }

    void recordArrival() {
        tokens = Math.min(MAX_TOKENS, tokens + TOKENS_PER_REQUEST);
    }

    /** Whether the request may have one more attempt. */
    boolean allowsRetry(PendingRequest request) {
        return tokens >= 1
                && request.attemptsThatMayHaveRun() < MAX_RISKY_ATTEMPTS
                && request.attempts.size() < settings.limits().maxAttempts();
    }

    /** Takes the request's next attempt into account; the first one is free. */
    void recordAttempt(PendingRequest request) {
        tokens -= request.attempts.isEmpty() ? 0 : 1;
    }
}
