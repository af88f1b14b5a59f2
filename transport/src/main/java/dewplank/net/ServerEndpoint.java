package dewplank.net;

/** A bound listening address. No connection is accepted before {@link #accept}. Used on the loop's thread only. */
public interface ServerEndpoint {
    /** Starts to accept connections. */
    void accept();

    /** Stops accepting connections; open connections are not closed. */
    void close();
}
