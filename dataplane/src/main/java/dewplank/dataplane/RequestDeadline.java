package dewplank.dataplane;

import dewplank.net.EventLoop;
import dewplank.net.TimerWheel;

/**
 * The deadline for the response to a request: the client's remaining time or the route's timeout, if that is shorter,
 * counted from the first byte of the request. Times are in milliseconds of the loop's clock. Not thread-safe; must be
 * used on the event loop's thread only.
 */
final class RequestDeadline {
    /** Time reserved for the response to reach the client before the client's own timeout. */
    private static final double RESPONSE_MARGIN_MS = 5;
    /** Remaining time that is assumed for requests that state none. */
    private static final double DEFAULT_CLIENT_TIMEOUT_MS = 60_000;

    private final EventLoop loop;
    private final double atMs;
    private TimerWheel.Timer timer;

    /**
     * @param remainingTime the client's {@link HeaderNames#REMAINING_TIME}; null if it sent none
     * @param routeTimeoutMs the route's timeout
     */
    RequestDeadline(EventLoop loop, double arrivedAt, String remainingTime, double routeTimeoutMs) {
        this.loop = loop;
        this.atMs = arrivedAt + Math.min(clientTimeoutMs(remainingTime), routeTimeoutMs) - RESPONSE_MARGIN_MS;
    }

    /** A value that is not a number counts as absent. */
    private static double clientTimeoutMs(String remainingTime) {
        try {
            double ms = remainingTime == null ? DEFAULT_CLIENT_TIMEOUT_MS : Double.parseDouble(remainingTime);
            return Double.isNaN(ms) ? DEFAULT_CLIENT_TIMEOUT_MS : Math.max(1, ms);
        } catch (NumberFormatException e) {
            return DEFAULT_CLIENT_TIMEOUT_MS;
        }
    }

    double atMs() {
        return atMs;
    }

    /** The time until the deadline; negative after it. */
    double remainingMs() {
        return atMs - loop.now();
    }

    /** Runs the task at the deadline unless cancelled before. */
    void start(Runnable expired) {
        timer = loop.after(Math.max(1, remainingMs()), expired);
    }

    void cancel() {
        timer.cancel();
    }
}
