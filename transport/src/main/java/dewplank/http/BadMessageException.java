package dewplank.http;

/** A message that is not HTTP/1.1 as spoken here; {@code status} is the answer to a request of that kind. */
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
