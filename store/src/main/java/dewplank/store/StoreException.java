package dewplank.store;

/**
 * A save, or the opening of a store, failed: the disk is full or failing, or the stored state cannot be read. The
 * caller must not acknowledge what it tried to save; it may save again later.
 */
public final class StoreException extends Exception {
    private static final long serialVersionUID = 1L;

    /** Says what was attempted; the cause is the file layer's error. */
    public StoreException(String message, Throwable cause) {
        super(message, cause);
    }

    /** Says what is wrong, where the disk itself is not the cause. */
    public StoreException(String message) {
        super(message);
    }
}
