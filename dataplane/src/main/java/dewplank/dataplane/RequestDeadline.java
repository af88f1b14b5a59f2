package dewplank.dataplane;

import dewplank.net.EventLoop;
import dewplank.net.TimerWheel;

/**
 * By when a request has to be answered: the lesser of what the client says that it waits for and the route's time-out,
 * from the request's first byte. Times in milliseconds of the loop's clock; on the event loop's thread only.
 */
final class RequestDeadline {
    /** The answer has to reach the client before it stops waiting. */
    private static final double ANSWER_MARGIN_MS = 5;
    /** For requests that name no time. */
    private static final double DEFAULT_CLIENT_TIMEOUT_MS = 60_000;

    private final EventLoop loop;
    private final double atMs;
    private TimerWheel.Timer timer;

    /**
     * @param remainingTime the client's {@link HeaderNames#REMAINING_TIME}; null where it sent none
     * @param routeTimeoutMs the route's time-out
     */
    RequestDeadline(EventLoop loop, double arrivedAt, String remainingTime, double routeTimeoutMs) {
        this.loop = loop;
        this.atMs = arrivedAt + Math.min(clientTimeoutMs(remainingTime), routeTimeoutMs) - ANSWER_MARGIN_MS;
    }

    /** What is no number counts as absent. */
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

    /** Negative once it has passed. */
    double remainingMs() {
        return atMs - loop.now();
    }

    /** Runs the task when the deadline passes, unless it is cancelled before. */
    void start(Runnable expired) {
        timer = loop.after(Math.max(1, remainingMs()), expired);
    }

    void cancel() {
        timer.cancel();
    }
}
