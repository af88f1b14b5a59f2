package dewplank.store;

/** The disk did not do what it was asked to. */
public final class StoreException extends Exception {
    private static final long serialVersionUID = 1L;

    /** Says what was tried. */
    public StoreException(String message, Throwable cause) {
        super(message, cause);
    }

    /** Says what is wrong. */
    public StoreException(String message) {
        super(message);
    }
}
