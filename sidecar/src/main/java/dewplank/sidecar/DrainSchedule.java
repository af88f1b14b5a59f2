package dewplank.sidecar;

/**
 * How long a draining sidecar accepts requests, and by when it has responded to all of them.
 *
 * <p>Both count from SIGTERM, in milliseconds. A request accepted later than {@code acceptForMs} could not be sure to
 * meet even the shortest latency target before {@code completeByMs}; SIGKILL may follow then.
 *
 * @param acceptForMs how long requests are accepted as usual
 * @param completeByMs when the requests still open are failed
 */
record DrainSchedule(double acceptForMs, double completeByMs) {
    /** New connections keep coming for 0.4 s after SIGTERM. */
    static final double MIN_ACCEPT_AFTER_TERM_MS = 600;

    /** SIGKILL comes no sooner after SIGTERM than this and the longest deadline. */
    private static final double KILL_DELAY_MS = 700;
    /** A longer deadline counts as this. */
    private static final double MAX_KILL_DEADLINE_MS = 3_000;
    /** For the last responses' way, on a core that others use too. */
    private static final double KILL_MARGIN_MS = 200;

    /** By the settings: the longest deadline and the shortest latency target of all request classes. */
    static DrainSchedule of(double maxDeadlineMs, double minLatencyTargetMs) {
        double completeByMs = Math.min(maxDeadlineMs, MAX_KILL_DEADLINE_MS) + KILL_DELAY_MS - KILL_MARGIN_MS;
        double acceptForMs = Math.max(MIN_ACCEPT_AFTER_TERM_MS, completeByMs - minLatencyTargetMs);
        return new DrainSchedule(acceptForMs, Math.max(completeByMs, acceptForMs));
    }
}
