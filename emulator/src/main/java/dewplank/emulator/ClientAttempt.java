package dewplank.emulator;

/** One attempt of a client's request. A retry is another attempt, with another identifier and the same key and work. */
public final class ClientAttempt {
    private final long id;
    private final int requestClass;
    private final long key;
    private final double work;
    private final int sidecar;
    private final int tenant;
    private final int subjectKey;
    private final boolean isRetry;
    private final double sentAtMs;
    private final double deadlineMs;

    private final ClientRequest request;
    private boolean hasEnded;

    /** An attempt of a scenario without tenants and keys; {@code request} may be null where no client retries it. */
    public ClientAttempt(
            long id,
            int requestClass,
            long key,
            double work,
            int sidecar,
            boolean isRetry,
            double sentAtMs,
            double deadlineMs,
            ClientRequest request) {
        this(id, requestClass, key, work, sidecar, isRetry, sentAtMs, deadlineMs, request, -1, -1);
    }

    ClientAttempt(
            long id,
            int requestClass,
            long key,
            double work,
            int sidecar,
            boolean isRetry,
            double sentAtMs,
            double deadlineMs,
            ClientRequest request,
            int tenant,
            int subjectKey) {
        this.id = id;
        this.requestClass = requestClass;
        this.key = key;
        this.work = work;
        this.sidecar = sidecar;
        this.isRetry = isRetry;
        this.sentAtMs = sentAtMs;
        this.deadlineMs = deadlineMs;
        this.request = request;
        this.tenant = tenant;
        this.subjectKey = subjectKey;
    }

    /** Identifier of this attempt. */
    public long id() {
        return id;
    }

    /** Index of the request class in the scenario. */
    public int requestClass() {
        return requestClass;
    }

    /** Idempotency key: the same for all attempts of one client request. */
    public long key() {
        return key;
    }

    /** Milliseconds of a standard core, before what the server adds or saves. */
    public double work() {
        return work;
    }

    /** Number of the sidecar that the client sends it to. */
    public int sidecar() {
        return sidecar;
    }

    /** Index of the tenant in the scenario, or -1 where it has none. */
    public int tenant() {
        return tenant;
    }

    /** Number of the key that the request is about, or -1 where the scenario has none. */
    public int subjectKey() {
        return subjectKey;
    }

    /** Whether the client has sent the request before. */
    public boolean isRetry() {
        return isRetry;
    }

    /** When the client sent it. */
    public double sentAtMs() {
        return sentAtMs;
    }

    /** When the client stops waiting. */
    public double deadlineMs() {
        return deadlineMs;
    }

    /** The request that it is an attempt of; null for one that no client retries. */
    ClientRequest request() {
        return request;
    }

    /** Whether the client has a response, or waits no more. */
    boolean hasEnded() {
        return hasEnded;
    }

    void end() {
        hasEnded = true;
    }
}
