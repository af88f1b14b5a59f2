package dewplank.dataplane;

import dewplank.configuration.RequestLimits;
import dewplank.exchange.InboundConnection;

/**
 * How long clients may take, by the limits of the configurations that may be in force. Clients use connections that
 * have rested for up to four fifths of the idle time-out, and may go by another version than this data plane for as
 * long as a change takes to reach both: a shorter time-out holds only after that, a longer one at once. Times in
 * milliseconds.
 */
final class ClientTimeouts {
    private final double applyMs;
    private RequestLimits current = RequestLimits.DEFAULTS;
    private double idleBeforeMs;
    private double headBeforeMs;
    private double beforeUntil = Double.NEGATIVE_INFINITY;

    /** A change reaches everybody within so long. */
    ClientTimeouts(double applyMs) {
        this.applyMs = applyMs;
    }

    /** The newest configuration has these limits. */
    void inForce(double now, RequestLimits limits) {
        if (limits.equals(current)) {
            return;
        }
        idleBeforeMs = idleMs(now);
        headBeforeMs = headMs(now);
        beforeUntil = now + applyMs;
        current = limits;
    }

    /** How long a connection may rest without a request. */
    double idleMs(double now) {
        return now < beforeUntil ? Math.max(idleBeforeMs, current.idleTimeoutMs()) : current.idleTimeoutMs();
    }

    /** How long a head may take from its first byte to its last. */
    double headMs(double now) {
        return now < beforeUntil ? Math.max(headBeforeMs, current.headerTimeoutMs()) : current.headerTimeoutMs();
    }

    /**
     * How long a whole request may take. No limit names it: long bodies cross slow links, so that the time-out for
     * heads does not bind them; and one that is never finished must not be waited for without end.
     */
    double wholeMs(double now) {
        return Math.max(headMs(now), idleMs(now));
    }

    /** Whether the connection has waited too long for a request, or for the rest of one. */
    boolean overdue(double now, InboundConnection c) {
        double most = !c.isHalfRead() ? idleMs(now) : c.isHeadRead() ? wholeMs(now) : headMs(now);
        return !c.isBusy() && now - c.waitingSince() > most;
    }
}
