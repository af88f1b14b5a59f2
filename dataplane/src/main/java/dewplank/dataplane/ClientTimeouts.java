package dewplank.dataplane;

import dewplank.configuration.RequestLimits;
import dewplank.exchange.InboundConnection;

/**
 * Timeouts for clients, according to the limits of the configurations that may be in force. Clients use connections
 * that have been idle for up to four fifths of the idle timeout, and may use another configuration version than this
 * data plane until a change has reached both. A shorter timeout therefore applies only after that period; a longer one
 * applies immediately. Times are in milliseconds of the loop's clock. Not thread-safe; must be used on the event loop's
 * thread only.
 */
final class ClientTimeouts {
    /** Clients reuse connections that have been idle for up to this fraction of the idle timeout. */
    private static final double REUSE_FRACTION = 0.8;

    private final double maxApplyMs;
    private RequestLimits current = RequestLimits.DEFAULTS;
    private double previousIdleMs;
    private double previousHeadMs;
    private double previousValidUntil = Double.NEGATIVE_INFINITY;

    /**
     * @param maxApplyMs time within which a change reaches all clients and data planes; the bound
     *     {@code config_apply_ms} of the settings
     */
    ClientTimeouts(double maxApplyMs) {
        this.maxApplyMs = maxApplyMs;
    }

    /** Applies the limits of the latest configuration. */
    void update(double now, RequestLimits limits) {
        if (limits.equals(current)) {
            return;
        }
        previousIdleMs = idleMs(now);
        previousHeadMs = headMs(now);
        previousValidUntil = now + maxApplyMs;
        current = limits;
    }

    /** How long a connection may be idle between requests. */
    double idleMs(double now) {
        return now < previousValidUntil ? Math.max(previousIdleMs, current.idleTimeoutMs()) : current.idleTimeoutMs();
    }

    /** For how long after a response a client may send its next request on the connection. */
    double reuseMs(double now) {
        return REUSE_FRACTION * idleMs(now);
    }

    /** How long the head of a request may take from its first to its last byte. */
    double headMs(double now) {
        return now < previousValidUntil
                ? Math.max(previousHeadMs, current.headerTimeoutMs())
                : current.headerTimeoutMs();
    }

    /**
     * How long a complete request may take. The configuration has no limit for this. The timeout for heads is too short
     * for long bodies on slow links, but an unfinished request must not keep its connection open indefinitely.
     */
    double requestMs(double now) {
        return Math.max(headMs(now), idleMs(now));
    }

    /** Whether the time limit for the next request on the connection, or for the rest of a request, has passed. */
    boolean isTimedOut(double now, InboundConnection connection) {
        return !connection.isBusy() && now - connection.idleSince() > timeoutMs(now, connection);
    }

    private double timeoutMs(double now, InboundConnection connection) {
        if (!connection.hasPartialRequest()) {
            return idleMs(now);
        }
        return connection.hasPartialRequestWithHead() ? requestMs(now) : headMs(now);
    }
}
