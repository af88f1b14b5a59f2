package dewplank.configuration;

/** A configuration, or a change to one, is invalid; the exception contains the invalid key and the reason. */
public final class InvalidConfigurationException extends Exception {
    private static final long serialVersionUID = 1L;

    /** Why the configuration or the change is invalid. */
    public enum Reason {
        /** The text is not exactly one JSON value: truncated, malformed, or followed by further bytes. */
        UNREADABLE,
        /** An object contains the same key twice. */
        DUPLICATE_KEY,
        /** Values are nested deeper than {@link #MAX_DEPTH}. */
        TOO_DEEP,
        /** The body is longer than {@link ConfigurationDocument#MAX_BODY_BYTES}. */
        TOO_LARGE,
        /** A value does not have the type of its field. */
        WRONG_TYPE,
        /** A required field is absent. */
        MISSING_FIELD,
        /** The config_version is absent. */
        MISSING_VERSION,
        /** The config_version is not above the current one. */
        VERSION_NOT_ABOVE,
        /** An item of a list has no name. */
        MISSING_NAME,
        /** Two items of one list have the same name. */
        DUPLICATE_NAME,
        /** Two routes have the same host and path prefix. */
        SHARED_PREFIX,
        /** A route refers to a service that the configuration does not contain. */
        UNKNOWN_SERVICE,
        /** A route has neither a service nor a split. */
        NO_SERVICE,
        /** A route's split is empty, a weight is negative, or the sum of the weights is 0 or infinite. */
        BAD_WEIGHTS,
        /** A route's timeout is 0 or less. */
        BAD_TIMEOUT,
        /** A path prefix does not begin and end with a slash. */
        BAD_PREFIX,
        /** Two tenants have the same access key. */
        SHARED_KEY,
        /** An access key is empty. */
        EMPTY_KEY,
        /** A tenant's name can't be sent in a header field. */
        BAD_TENANT_NAME,
        /** A route's type is none of {@link RouteType}. */
        UNKNOWN_ROUTE_TYPE,
        /** A number is outside the valid range of its field. */
        OUT_OF_BOUNDS
    }

    /** Maximum nesting depth of values. Real configurations need 7; the limit prevents a stack overflow of readers. */
    public static final int MAX_DEPTH = 64;

    private final Reason reason;
    private final String key;

    /**
     * Creates an exception.
     *
     * @param reason the kind of error
     * @param key the invalid key, such as {@code routes[r-1].timeout_ms}; empty for the text as a whole
     * @param detail what is wrong, in a few words
     */
    InvalidConfigurationException(Reason reason, String key, String detail) {
        super((key.isEmpty() ? "the configuration" : key) + ": " + detail);
        this.reason = reason;
        this.key = key;
    }

    /** The kind of error. */
    public Reason reason() {
        return reason;
    }

    /** The invalid key; empty for the text as a whole. */
    public String key() {
        return key;
    }
}
