package dewplank.message;

/**
 * A connection between two processes of the fleet that delivers messages in order and at most once.
 *
 * <p>All methods of the connection and of its handler run on the process's event loop.
 */
public interface MessageLink {
    /** Receives the events of one connection. */
    interface Handler {
        /** The connection is established. */
        default void opened(MessageLink connection) {}

        /** A message arrived. If the handler closes the connection, it receives no further messages. */
        void received(MessageLink connection, Object message);

        /** The connection closed or could not be established. Called exactly once, also for {@link #close}. */
        void closed(MessageLink connection);
    }

    /**
     * Sends a message. It is dropped if the connection is not open, and may be lost if the connection closes.
     *
     * @param message a message of one of the types of {@link FleetMessages}
     */
    void send(Object message);

    /** Whether the connection is established and not closed. */
    boolean isOpen();

    /** Whether the connection is closed or could not be established. */
    boolean isClosed();

    /** Closes the connection and notifies the handler within this call; has no effect if it is already closed. */
    void close();
}
