package dewplank.balancer.adaptive;

import dewplank.balancer.Settings;

/**
 * Limits retries and hedges together to a fraction of first attempts with a token bucket, so that they
 * cannot multiply the load of an overloaded fleet ("Site Reliability Engineering", O'Reilly 2016, chapter
 * 21).
 */
final class RetryBudget {
    private static final double TOKENS_PER_REQUEST = 0.2;
    private static final double MAX_TOKENS = 10;
    /** Maximum number of a request's attempts that may have run; limits how many servers it can crash. */
    private static final int MAX_RISKY_ATTEMPTS = 2;

    private final Settings settings;
    private double tokens = MAX_TOKENS;

    RetryBudget(Settings settings) {
        this.settings = settings;
    }

    void recordArrival() {
        tokens = Math.min(MAX_TOKENS, tokens + TOKENS_PER_REQUEST);
    }

    /** Whether the request may have another attempt. */
    boolean allowsRetry(PendingRequest request) {
        return tokens >= 1
                && request.attemptsThatMayHaveRun() < MAX_RISKY_ATTEMPTS
                && request.attempts.size() < settings.limits().maxAttempts();
    }

    /** Takes a token for the request's next attempt, unless it is the first. */
    void recordAttempt(PendingRequest request) {
        tokens -= request.attempts.isEmpty() ? 0 : 1;
    }
}
