package dewplank.settings;

/** Input or configuration that cannot be used. The message is meant for the operator who reads standard error. */
public final class InvalidInputException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    private final ResultCode code;

    /** An error without a number. */
    public InvalidInputException(String message) {
        this(null, message);
    }

    /** An error with a numbered kind, which may be null. */
    public InvalidInputException(ResultCode code, String message) {
        super(message);
        this.code = code;
    }

    /** An error whose message begins with its number. */
    public static InvalidInputException of(ResultCode code, String detail) {
        return new InvalidInputException(code, code.line(detail));
    }

    /** The kind of error; null if it has no number. */
    public ResultCode code() {
        return code;
    }

    /** The same error with a message that begins with its number, or with the given code's if it has none. */
    public InvalidInputException numbered(ResultCode otherwise) {
        return of(code == null ? otherwise : code, getMessage());
    }
}
