package dewplank.message;

/** Bytes from another process that are no message: the connection is of no use any more. */
public final class CorruptFrameException extends Exception {
    private static final long serialVersionUID = 1L;

    public CorruptFrameException(String message) {
        super(message);
    }
}
