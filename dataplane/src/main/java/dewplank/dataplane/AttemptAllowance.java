package dewplank.dataplane;

import dewplank.dataplane.Counters.Count;

/**
 * Limits the attempts of one request: the client's access key must be valid, the route's {@code max_attempts} must not
 * be exceeded, and each attempt after the first needs a retry from the service's retry budget. Not thread-safe; must be
 * used on the event loop's thread only.
 */
final class AttemptAllowance {
    private final RetryBudgets budgets;
    private final Counters counters;
    private final String service;
    private final int maxAttempts;
    private final RequestDeadline deadline;
    private final Credentials credentials;
    /** Attempts that count towards the route's limit and the retry budget. */
    private int attempts;
    /** Attempts that were charged to the retry budget. */
    private int charged;

    AttemptAllowance(
            RetryBudgets budgets,
            Counters counters,
            String service,
            int maxAttempts,
            RequestDeadline deadline,
            Credentials credentials) {
        this.budgets = budgets;
        this.counters = counters;
        this.service = service;
        this.maxAttempts = maxAttempts;
        this.deadline = deadline;
        this.credentials = credentials;
    }

    /** Records the start of an attempt that counts. */
    void recordAttempt() {
        attempts++;
    }

    /** Undoes {@link #recordAttempt} for an attempt that sent nothing. */
    void undoAttempt() {
        attempts--;
    }

    /** Whether the client's access key still permits sending the request. */
    boolean isAccessAllowed() {
        return credentials.isAllowed();
    }

    boolean isUnused() {
        return attempts == 0;
    }

    /** Whether the route's limit allows one more attempt; the budget is neither checked nor charged. */
    boolean allowsAttempt() {
        return attempts < maxAttempts;
    }

    /** Whether the route's limit allows another attempt after the next one. */
    boolean allowsAttemptAfterNext() {
        return attempts + 1 < maxAttempts;
    }

    /**
     * Charges the next attempt to the retry budget unless it is the first one. Returns false if no attempt is allowed.
     */
    boolean tryAcquireAttempt() {
        if (!isAccessAllowed()) {
            return false;
        }
        if (!allowsAttempt()) {
            counters.add(Count.ATTEMPTS_SPENT);
            return false;
        }
        return deadline.remainingMs() > 0 && (attempts <= charged || tryAcquireRetry());
    }

    /**
     * Charges one retry to the budget. Returns false if the budget is exhausted or the access key is no longer valid.
     */
    boolean tryAcquireRetry() {
        boolean acquired = isAccessAllowed() && budgets.tryAcquire(service);
        charged += acquired ? 1 : 0;
        return acquired;
    }

    /** Counts a formerly exempt attempt in the retry budget, but not towards the route's limit. */
    void countExemptAttemptInBudget() {
        budgets.recordRetry(service);
    }

    /** Counts a formerly exempt attempt towards the route's limit and in the retry budget. */
    void countExemptAttempt() {
        attempts++;
        budgets.recordRetry(service);
        charged++;
    }
}
