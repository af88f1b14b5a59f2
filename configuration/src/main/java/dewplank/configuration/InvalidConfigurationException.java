package dewplank.configuration;

/** A configuration, or a change to one, is invalid; it names the key at fault and why. */
public final class InvalidConfigurationException extends Exception {
    private static final long serialVersionUID = 1L;

    /** Why it is invalid. */
    public enum Reason {
        /** The text is not exactly one JSON value: truncated, malformed, or followed by further bytes. */
        UNREADABLE,
        /** An object holds the same key twice. */
        DUPLICATE_KEY,
        /** Values are nested deeper than {@link #MAX_DEPTH}. */
        TOO_DEEP,
        /** The body is longer than {@link ConfigurationDocument#MAX_BODY_BYTES}. */
        TOO_LARGE,
        /** A value is of another type than its field has. */
        WRONG_TYPE,
        /** A field that has no default is absent. */
        MISSING_FIELD,
        /** There is no config_version. */
        MISSING_VERSION,
        /** The config_version is not above the current one. */
        VERSION_NOT_ABOVE,
        /** An item of a list has no name. */
        MISSING_NAME,
        /** Two items of one list have the same name. */
        DUPLICATE_NAME,
        /** Two routes have the same host and path prefix. */
        SHARED_PREFIX,
        /** A route names a service that the configuration does not have. */
        UNKNOWN_SERVICE,
        /** A route has neither a service nor a split. */
        NO_SERVICE,
        /** A route's weights add up to nothing, or one of them is negative. */
        BAD_WEIGHTS,
        /** A route's timeout is 0 or less. */
        BAD_TIMEOUT,
        /** A path prefix does not begin and end with a slash. */
        BAD_PREFIX,
        /** Two tenants hold the same access key. */
        SHARED_KEY,
        /** An access key is empty. */
        EMPTY_KEY,
        /** A tenant's name can't be sent in a header field. */
        BAD_TENANT_NAME,
        /** A route's type is none of {@link RouteType}. */
        UNKNOWN_ROUTE_TYPE,
        /** A number lies outside the range in which its field makes sense. */
        OUT_OF_BOUNDS
    }

    /** Nesting that readers accept: real configurations need 7, and a reader must not exhaust its stack. */
    public static final int MAX_DEPTH = 64;

    private final Reason reason;
    private final String key;

    /**
     * A fault.
     *
     * @param reason its kind
     * @param key the key at fault, such as {@code routes[r-1].timeout_ms}; empty for the text as a whole
     * @param detail what is wrong, in a few words
     */
    InvalidConfigurationException(Reason reason, String key, String detail) {
        super((key.isEmpty() ? "the configuration" : key) + ": " + detail);
        this.reason = reason;
        this.key = key;
    }

    /** The kind of fault. */
    public Reason reason() {
        return reason;
    }

    /** The key at fault; empty for the text as a whole. */
    public String key() {
        return key;
    }
}
