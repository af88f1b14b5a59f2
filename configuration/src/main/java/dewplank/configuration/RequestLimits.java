package dewplank.configuration;

/**
 * Bounds on what a client may send and how long it may take.
 *
 * @param maxHeaderBytes the longest head of a request
 * @param maxBodyBytes the longest body of a request
 * @param headerTimeoutMs how long a head may take to arrive
 * @param idleTimeoutMs how long a connection may stay idle
 */
public record RequestLimits(int maxHeaderBytes, int maxBodyBytes, double headerTimeoutMs, double idleTimeoutMs) {
    /** The defaults where a configuration names none: the figures of the operator's own example. */
    public static final RequestLimits DEFAULTS = new RequestLimits(16_384, 4_194_304, 3_000, 15_000);
}
