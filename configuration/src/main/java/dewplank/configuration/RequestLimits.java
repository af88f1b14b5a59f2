package dewplank.configuration;

/**
 * Limits on the size of requests and on the time that clients may take to send them.
 *
 * @param maxHeaderBytes the maximum size of a request's header
 * @param maxBodyBytes the maximum size of a request's body
 * @param headerTimeoutMs how long a request's header may take to arrive
 * @param idleTimeoutMs how long a connection may stay idle
 */
public record RequestLimits(int maxHeaderBytes, int maxBodyBytes, double headerTimeoutMs, double idleTimeoutMs) {
    /** The limits of a configuration that sets none; the values are those of the operator's example. */
    public static final RequestLimits DEFAULTS = new RequestLimits(16_384, 4_194_304, 3_000, 15_000);
}
