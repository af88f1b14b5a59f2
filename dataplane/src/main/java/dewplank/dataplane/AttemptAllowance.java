package dewplank.dataplane;

import dewplank.dataplane.Counters.Count;

/**
 * How many more servers one request may be sent to: by its client's access key, by its route's {@code max_attempts},
 * and by the service's budget of retries for each attempt beyond the first. On the event loop's thread only.
 */
final class AttemptAllowance {
    private final RetryBudgets budgets;
    private final Counters counters;
    private final String service;
    private final int maxAttempts;
    private final RequestDeadline deadline;
    private final Credentials credentials;
    /** Attempts, as the route's limit and the budget count them. */
    private int attempts;
    /** Attempts that were taken out of the budget. */
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

    /** An attempt that counts has begun. */
    void recordAttempt() {
        attempts++;
    }

    /** An attempt that counted sent nothing: it does not count. */
    void revokeAttempt() {
        attempts--;
    }

    /** Whether the client's access key still allows the request to be sent. */
    boolean isAccessAllowed() {
        return credentials.isAllowed();
    }

    boolean isUnused() {
        return attempts == 0;
    }

    /** Whether the route's limit leaves one more attempt; nothing is taken. */
    boolean allowsAttempt() {
        return attempts < maxAttempts;
    }

    /** Whether the route's limit leaves a further attempt behind the next one. */
    boolean allowsAttemptAfterNext() {
        return attempts + 1 < maxAttempts;
    }

    /** Takes the next attempt out of the budget, where it is not the first. False: none may be made now. */
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

    /** Takes one retry out of the budget. False: the budget is used up, or the key no longer allows it. */
    boolean tryAcquireRetry() {
        boolean acquired = isAccessAllowed() && budgets.tryAcquire(service);
        charged += acquired ? 1 : 0;
        return acquired;
    }

    /** An attempt that was begun free of charge turned out to count for the budget, though not for the limit. */
    void recordRetryChargedLate() {
        budgets.recordRetry(service);
    }

    /** An attempt that was begun free of charge turned out to count, for the limit and for the budget. */
    void recordAttemptChargedLate() {
        attempts++;
        budgets.recordRetry(service);
        charged++;
    }
}
