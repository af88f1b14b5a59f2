package dewplank.emulator;

/** One try of a client's request; a retry is another with an id of its own and the same key and work. */
public final class ClientAttempt {
    public final long id;
    /** Place of its class in the scenario. */
    public final int requestClass;
    /** The same for all tries of one request of a client's. */
    public final long key;

    public final double work;
    public final int sidecar;
    /** Whose it is and what it is about: numbers of a tenant and of a key, or -1 where the scenario has none. */
    public final int tenant;

    public final int subjectKey;
    public final boolean isRetry;
    /** When the client sent it. */
    public final double sentAtMs;
    /** When the client stops waiting. */
    public final double deadlineMs;

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
}
