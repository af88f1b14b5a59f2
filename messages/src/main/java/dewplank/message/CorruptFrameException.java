package dewplank.message;

/**
 * Bytes from another process are not a valid frame. The bytes after them cannot be interpreted either, so that the
 * receiver closes the connection.
 */
public final class CorruptFrameException extends Exception {
    private static final long serialVersionUID = 1L;

    /** Says what is wrong with the frame. */
    public CorruptFrameException(String message) {
        super(message);
    }
}
