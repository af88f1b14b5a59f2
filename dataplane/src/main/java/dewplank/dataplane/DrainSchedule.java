package dewplank.dataplane;

/**
 * How the time between SIGTERM and SIGKILL is divided: connections are accepted, then what is open is answered, then
 * the process ends. Times in milliseconds from SIGTERM.
 *
 * @param graceMs the settings' bound {@code grace_ms}
 */
record DrainSchedule(double graceMs) {
    /** The platform checks each second and stops sending after two misses; then its connections have to settle. */
    private static final double MAX_ACCEPT_MS = 2_600;
    /** Of a short grace: what was accepted last needs the remainder to be answered. */
    private static final double ACCEPT_FRACTION = 0.4;

    private static final double MAX_KILL_MARGIN_MS = 700;
    private static final double KILL_MARGIN_FRACTION = 0.2;
    /** Before the end: for the last answers to leave. */
    private static final double LAST_ANSWERS_MS = 100;

    /** Until when new connections are accepted. */
    double acceptMs() {
        return Math.min(MAX_ACCEPT_MS, ACCEPT_FRACTION * graceMs);
    }

    /** When what is still open gets the answer that is true by then. */
    double terminateMs() {
        return endMs() - LAST_ANSWERS_MS;
    }

    /** When the process ends at the latest. */
    double endMs() {
        return graceMs - Math.min(MAX_KILL_MARGIN_MS, KILL_MARGIN_FRACTION * graceMs);
    }

    /** How long the last answers get to leave. */
    static double lastAnswersMs() {
        return LAST_ANSWERS_MS;
    }
}
