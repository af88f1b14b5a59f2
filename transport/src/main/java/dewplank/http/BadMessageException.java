package dewplank.http;

/** A malformed or unsupported HTTP/1.1 message; {@code status} is the status of the response to such a request. */
public final class BadMessageException extends Exception {
    private static final long serialVersionUID = 1L;

    private final int status;

    public BadMessageException(int status, String message) {
        super(message);
        this.status = status;
    }

    public int status() {
        return status;
    }
}
