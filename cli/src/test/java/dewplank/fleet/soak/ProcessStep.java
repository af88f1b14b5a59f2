package dewplank.fleet.soak;

/**
 * A step of the plan for one process.
 *
 * @param atMs when it is due, from the start of the soak; later where the step before it has not ended
 */
record ProcessStep(double atMs, Kind kind) {
    /** What is done to the process. */
    enum Kind {
        /** SIGTERM, and the end is awaited for as long as the grace. */
        TERMINATE,
        /** SIGKILL. */
        KILL,
        /** A start with the present content of its disk. */
        START,
        /** SIGSTOP. */
        FREEZE,
        /** SIGCONT. */
        THAW,
        /** SIGHUP with a settings file that names other seeds. */
        RELOAD,
        /** SIGHUP with a settings file that can't be read. */
        RELOAD_UNREADABLE
    }

    @Override
    public String toString() {
        return String.format("%.1fs %s", atMs / 1_000, kind);
    }
}
