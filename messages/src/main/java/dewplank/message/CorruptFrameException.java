package dewplank.message;

/**
 * Thrown when bytes from another process are not a valid frame. The bytes after them can't be interpreted either, so
 * the receiver closes the connection.
 */
public final class CorruptFrameException extends Exception {
    private static final long serialVersionUID = 1L;

    /** Creates an exception whose message describes the error in the frame. */
    public CorruptFrameException(String message) {
        super(message);
    }
}
