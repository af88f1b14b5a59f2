package dewplank.dataplane;

/**
 * Divides the time between SIGTERM and SIGKILL: first, new connections are still accepted, then open requests are
 * completed, and finally the process exits. Times are in milliseconds after SIGTERM.
 *
 * @param graceMs the setting {@code grace_s}, in milliseconds
 */
record DrainSchedule(double graceMs) {
    /**
     * Maximum time for which new connections are accepted. The platform checks readiness once a second and stops
     * routing to this process after two failed checks; the connections that it has routed by then need time to settle.
     */
    private static final double MAX_ACCEPT_MS = 2_600;
    /**
     * Maximum fraction of the grace period for which new connections are accepted. It applies to a short grace period,
     * because the requests accepted last need the remaining time to be completed.
     */
    private static final double ACCEPT_FRACTION = 0.4;

    private static final double MAX_KILL_MARGIN_MS = 700;
    private static final double KILL_MARGIN_FRACTION = 0.2;
    /** Time reserved before the exit for sending the last responses. */
    private static final double LAST_RESPONSES_MS = 100;

    /** Time until which new connections are accepted. */
    double acceptMs() {
        return Math.min(MAX_ACCEPT_MS, ACCEPT_FRACTION * graceMs);
    }

    /** Time at which each request that is still open receives the response that matches its state. */
    double terminateMs() {
        return exitMs() - LAST_RESPONSES_MS;
    }

    /** Latest time at which the process exits. */
    double exitMs() {
        return graceMs - Math.min(MAX_KILL_MARGIN_MS, KILL_MARGIN_FRACTION * graceMs);
    }

    /** Time reserved for sending the last responses. */
    static double lastResponsesMs() {
        return LAST_RESPONSES_MS;
    }
}
