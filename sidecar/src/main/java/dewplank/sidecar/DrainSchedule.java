package dewplank.sidecar;

/**
 * How long a draining sidecar accepts requests, and when it has responded to all of them.
 *
 * <p>Both times are in milliseconds after SIGTERM. A request accepted after {@code acceptForMs} would have less
 * time than the shortest latency target until {@code completeByMs}, after which SIGKILL may follow.
 *
 * @param acceptForMs how long requests are accepted as usual
 * @param completeByMs when requests that are still open fail
 */
record DrainSchedule(double acceptForMs, double completeByMs) {
    /** Minimum time for which requests are accepted. Clients open new connections for up to 0.4 s after SIGTERM. */
    static final double MIN_ACCEPT_AFTER_TERM_MS = 600;

    /** SIGKILL follows SIGTERM after at least the longest deadline plus this time. */
    private static final double KILL_DELAY_MS = 700;
    /** Upper bound of the longest deadline in this rule: a longer one counts as this. */
    private static final double MAX_KILL_DEADLINE_MS = 3_000;
    /** Time before SIGKILL for sending the last responses, on a core that is shared with other processes. */
    private static final double KILL_MARGIN_MS = 200;

    /** Computes the schedule from the longest deadline and the shortest latency target of all request classes. */
    static DrainSchedule of(double maxDeadlineMs, double minLatencyTargetMs) {
        double completeByMs = Math.min(maxDeadlineMs, MAX_KILL_DEADLINE_MS) + KILL_DELAY_MS - KILL_MARGIN_MS;
        double acceptForMs = Math.max(MIN_ACCEPT_AFTER_TERM_MS, completeByMs - minLatencyTargetMs);
        return new DrainSchedule(acceptForMs, Math.max(completeByMs, acceptForMs));
    }
}
