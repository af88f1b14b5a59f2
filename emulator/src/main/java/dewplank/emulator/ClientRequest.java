package dewplank.emulator;

/** A client's request, which may take several attempts. */
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

    /** Number of attempts created so far. */
    int attempts() {
        return attempts;
    }

    /** Creates the next attempt; every attempt after the first is a retry. */
    ClientAttempt nextAttempt(long id, int sidecar, double nowMs, double deadlineMs) {
        boolean isRetry = attempts > 0;
        attempts++;
        return new ClientAttempt(
                id, requestClass, key, work, sidecar, isRetry, nowMs, deadlineMs, this, tenant, subjectKey);
    }
}
