package dewplank.emulator;

/** One try of a client's request; a retry is another with an id of its own and the same key and work. */
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

    boolean isOver;
    final Clients.Request request;

    public ClientAttempt(
            long id,
            int kind,
            long key,
            double work,
            int sidecar,
            boolean repeat,
            double at,
            double until,
            Clients.Request ask) {
        this(id, kind, key, work, sidecar, repeat, at, until, ask, -1, -1);
    }

    ClientAttempt(
            long id,
            int kind,
            long key,
            double work,
            int sidecar,
            boolean repeat,
            double at,
            double until,
            Clients.Request ask,
            int tenant,
            int about) {
        this.id = id;
        this.requestClass = kind;
        this.key = key;
        this.work = work;
        this.sidecar = sidecar;
        this.isRetry = repeat;
        this.sentAtMs = at;
        this.deadlineMs = until;
        this.request = ask;
        this.tenant = tenant;
        this.subjectKey = about;
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
}
