package dewplank.settings;

/** Invalid input or configuration. The message is for operators, who see it on standard error. */
public final class InvalidInputException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    private final ResultCode code;

    /** Creates an error without a result code. */
    public InvalidInputException(String message) {
        this(null, message);
    }

    /** Creates an error with a result code, which may be null. */
    public InvalidInputException(ResultCode code, String message) {
        super(message);
        this.code = code;
    }

    /** Creates an error whose message starts with the code's number and name. */
    public static InvalidInputException of(ResultCode code, String detail) {
        return new InvalidInputException(code, code.line(detail));
    }

    /** The result code, or null. */
    public ResultCode code() {
        return code;
    }

    /** Returns this error with its code, or with {@code defaultCode} if it has none, at the start of the message. */
    public InvalidInputException withNumber(ResultCode defaultCode) {
        return of(code == null ? defaultCode : code, getMessage());
    }
}
