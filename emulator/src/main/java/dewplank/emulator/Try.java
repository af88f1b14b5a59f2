package dewplank.emulator;

/** One try of a client's request; a retry is another with an id of its own and the same key and work. */
public final class Try {
    public final long id;
    /** Place of its class in the scenario. */
    public final int kind;
    /** The same for all tries of one request of a client's. */
    public final long key;

    public final double work;
    public final int sidecar;
    /** Whose it is and what it is about: numbers of a tenant and of a key, or -1 where the scenario has none. */
    public final int tenant;

    public final int about;
    public final boolean repeat;
    /** When the client sent it. */
    public final double at;
    /** When the client stops waiting. */
    public final double until;

    boolean over;
    final Clients.Ask ask;

    public Try(
            long id,
            int kind,
            long key,
            double work,
            int sidecar,
            boolean repeat,
            double at,
            double until,
            Clients.Ask ask) {
        this(id, kind, key, work, sidecar, repeat, at, until, ask, -1, -1);
    }

    Try(
            long id,
            int kind,
            long key,
            double work,
            int sidecar,
            boolean repeat,
            double at,
            double until,
            Clients.Ask ask,
            int tenant,
            int about) {
        this.id = id;
        this.kind = kind;
        this.key = key;
        this.work = work;
        this.sidecar = sidecar;
        this.repeat = repeat;
        this.at = at;
        this.until = until;
        this.ask = ask;
        this.tenant = tenant;
        this.about = about;
    }
}
