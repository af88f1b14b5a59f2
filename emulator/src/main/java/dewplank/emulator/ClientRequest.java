package dewplank.emulator;

/** A request of a client, over all its attempts. */
final class ClientRequest {
    final int requestClass;
    /** Idempotency key, the same for all attempts. */
    final long key;

    final double work;
    final double firstSentAtMs;
    final boolean honoursRetryAfter;
    final int tenant;
    final int subjectKey;
    private int attempts;

    ClientRequest(
            int requestClass,
            long key,
            double work,
            double firstSentAtMs,
            boolean honoursRetryAfter,
            int tenant,
            int subjectKey) {
        this.requestClass = requestClass;
        this.key = key;
        this.work = work;
        this.firstSentAtMs = firstSentAtMs;
        this.honoursRetryAfter = honoursRetryAfter;
        this.tenant = tenant;
        this.subjectKey = subjectKey;
    }

    /** Attempts so far. */
    int attempts() {
        return attempts;
    }

    /** The next attempt; all but the first are retries. */
    ClientAttempt nextAttempt(long id, int sidecar, double nowMs, double deadlineMs) {
        boolean isRetry = attempts > 0;
        attempts++;
        return new ClientAttempt(
                id, requestClass, key, work, sidecar, isRetry, nowMs, deadlineMs, this, tenant, subjectKey);
    }
}
