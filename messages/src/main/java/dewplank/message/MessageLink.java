package dewplank.message;

/**
 * A connection between two processes of the fleet that carries messages, in order and at most once.
 *
 * <p>All methods, and those of its handler, run on the process's event loop.
 */
public interface MessageLink {
    /** Receives the events of one connection. */
    interface Handler {
        /** The connection is established. */
        default void opened(MessageLink connection) {}

        /** A message arrived. The handler may close the connection; then it receives no further one. */
        void received(MessageLink connection, Object message);

        /** The connection closed, or could not be established. Called once, also after a call of {@link #close}. */
        void closed(MessageLink connection);
    }

    /**
     * Sends a message. It is dropped unless the connection is open, and may be lost when the connection closes.
     *
     * @param message of one of the types of {@link FleetMessages}
     */
    void send(Object message);

    /** Whether it is established and not closed. */
    boolean isOpen();

    /** Whether it is closed or could not be established. */
    boolean isClosed();

    /** Closes the connection and notifies the handler within this call; no effect when it is closed already. */
    void close();
}
