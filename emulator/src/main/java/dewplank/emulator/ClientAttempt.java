package dewplank.emulator;

/** One attempt of a client's request. A retry is a new attempt with its own identifier and the same key and work. */
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

    /** An attempt in a scenario without tenants and keys; {@code request} is null if no client retries the attempt. */
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

    /** Work in milliseconds of a standard core, before the server's adjustments (noise, cached keys). */
    public double work() {
        return work;
    }

    /** Number of the sidecar that the client sends the attempt to. */
    public int sidecar() {
        return sidecar;
    }

    /** Index of the tenant in the scenario, or -1 if the scenario has no tenants. */
    public int tenant() {
        return tenant;
    }

    /** Number of the data key that the request refers to, or -1 if the scenario has no keys. */
    public int subjectKey() {
        return subjectKey;
    }

    /** Whether the client has already sent an earlier attempt of the request. */
    public boolean isRetry() {
        return isRetry;
    }

    /** Time at which the client sent the attempt. */
    public double sentAtMs() {
        return sentAtMs;
    }

    /** Time at which the client stops waiting for the response. */
    public double deadlineMs() {
        return deadlineMs;
    }

    /** The request that this attempt belongs to; null if no client retries it. */
    ClientRequest request() {
        return request;
    }

    /** Whether the client has received a response or has stopped waiting. */
    boolean hasEnded() {
        return hasEnded;
    }

    void end() {
        hasEnded = true;
    }
}
