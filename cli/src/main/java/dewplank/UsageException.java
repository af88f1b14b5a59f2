package dewplank;

/** An invalid combination or value of command line arguments; the message is printed for the operator. */
final class UsageException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    UsageException(String message) {
        super(message);
    }
}
