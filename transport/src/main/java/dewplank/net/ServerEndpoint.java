package dewplank.net;

/** Where connections are taken; bound, and closed to callers until told to accept. */
public interface ServerEndpoint {
    /** Begins to take connections. */
    void accept();

    /** Takes no further connection; those that are open stay. */
    void close();
}
