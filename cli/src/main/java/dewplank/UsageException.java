package dewplank;

/** The parts of a command line do not go together; the message is for the operator. */
final class WrongUseException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    WrongUseException(String message) {
        super(message);
    }
}
