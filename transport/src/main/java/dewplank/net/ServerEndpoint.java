package dewplank.net;

/** A bound listening address. Nothing is accepted before {@link #accept}. On the loop's thread only. */
public interface ServerEndpoint {
    /** Begins to accept connections. */
    void accept();

    /** Stops accepting; open connections stay. */
    void close();
}
