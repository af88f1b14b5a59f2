package dewplank.settings;

/** Input or configuration that cannot be used. The message is for the person who reads standard error. */
public final class InvalidInputException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    private final ResultCode code;

    public InvalidInputException(String message) {
        this(null, message);
    }

    public InvalidInputException(ResultCode code, String message) {
        super(message);
        this.code = code;
    }

    /** A fault whose message begins with its number. */
    public static InvalidInputException of(ResultCode code, String detail) {
        return new InvalidInputException(code, code.line(detail));
    }

    /** What kind of fault it is; null where it has no number. */
    public ResultCode code() {
        return code;
    }

    /** The same fault, its message beginning with its number, or with the given one's where it has none. */
    public InvalidInputException numbered(ResultCode otherwise) {
        return of(code == null ? otherwise : code, getMessage());
    }
}
