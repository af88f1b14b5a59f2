package dewplank.dataplane;

import dewplank.configuration.RequestLimits;
import dewplank.exchange.InboundConnection;

/**
 * How long clients may take, by the limits of the configurations that may be in force. Clients use connections that
 * have been idle for up to four fifths of the idle time-out, and may go by another version than this data plane for as
 * long as a change takes to reach both: a shorter time-out holds only after that, a longer one at once. Times in
 * milliseconds of the loop's clock; on the event loop's thread only.
 */
final class ClientTimeouts {
    private final double maxApplyMs;
    private RequestLimits current = RequestLimits.DEFAULTS;
    private double previousIdleMs;
    private double previousHeadMs;
    private double previousValidUntil = Double.NEGATIVE_INFINITY;

    /**
     * @param maxApplyMs a change reaches everybody within so long; the settings' bound {@code config_apply_ms}
     */
    ClientTimeouts(double maxApplyMs) {
        this.maxApplyMs = maxApplyMs;
    }

    /** The newest configuration has these limits. */
    void update(double now, RequestLimits limits) {
        if (limits.equals(current)) {
            return;
        }
        previousIdleMs = idleMs(now);
        previousHeadMs = headMs(now);
        previousValidUntil = now + maxApplyMs;
        current = limits;
    }

    /** How long a connection may be idle without a request. */
    double idleMs(double now) {
        return now < previousValidUntil ? Math.max(previousIdleMs, current.idleTimeoutMs()) : current.idleTimeoutMs();
    }

    /** How long a head may take from its first byte to its last. */
    double headMs(double now) {
        return now < previousValidUntil
                ? Math.max(previousHeadMs, current.headerTimeoutMs())
                : current.headerTimeoutMs();
    }

    /**
     * How long a complete request may take. No limit names it: long bodies cross slow links, so that the time-out for
     * heads does not bind them; and one that is never finished must not be waited for without end.
     */
    double requestMs(double now) {
        return Math.max(headMs(now), idleMs(now));
    }

    /** Whether the connection has waited too long for a request, or for the remainder of one. */
    boolean isOverdue(double now, InboundConnection connection) {
        return !connection.isBusy() && now - connection.waitingSince() > timeoutMs(now, connection);
    }

    private double timeoutMs(double now, InboundConnection connection) {
        if (!connection.isHalfRead()) {
            return idleMs(now);
        }
        return connection.isHeadRead() ? requestMs(now) : headMs(now);
    }
}
