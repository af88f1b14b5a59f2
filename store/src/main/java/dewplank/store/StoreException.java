package dewplank.store;

/**
 * Saving a state or opening a store failed: the disk is full or failing, or the stored state cannot be read. The caller
 * must not acknowledge the state that it tried to save; it may retry the save later.
 */
public final class StoreException extends Exception {
    private static final long serialVersionUID = 1L;

    /** Creates an exception for a failed operation, caused by an exception of the file layer. */
    public StoreException(String message, Throwable cause) {
        super(message, cause);
    }

    /** Creates an exception for an error that the disk did not cause. */
    public StoreException(String message) {
        super(message);
    }
}
