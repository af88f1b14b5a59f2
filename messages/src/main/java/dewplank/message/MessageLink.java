package dewplank.message;

/** A connection between two processes of the system that carries messages, in order. On its process's thread only. */
public interface MessageLink {
    /** Whoever uses the connection. */
    interface Handler {
        default void opened(MessageLink connection) {}

        void received(MessageLink connection, Object message);

        /** The connection ended or could not be opened. Told once. */
        void closed(MessageLink connection);
    }

    /** Sends a message; lost if the connection ends first. */
    void send(Object message);

    /** Whether it is established and has not ended. */
    boolean isOpen();

    /** Whether it has ended, or could not be opened. */
    boolean isClosed();

    /** Ends the connection; the handler is told. */
    void close();
}
