package dewplank.fleet.soak;

/**
 * A step of the soak plan for one process.
 *
 * @param atMs the scheduled time since the start of the soak; the step is delayed until the previous one completes
 */
record ProcessStep(double atMs, Kind kind) {
    /** The operation on the process. */
    enum Kind {
        /** SIGTERM, followed by a wait for the exit within the grace period. */
        TERMINATE,
        /** SIGKILL. */
        KILL,
        /** A start with the current content of its disk. */
        START,
        /** SIGSTOP. */
        FREEZE,
        /** SIGCONT. */
        THAW,
        /** SIGHUP with a settings file that lists other seed nodes. */
        RELOAD,
        /** SIGHUP with a settings file that can't be read. */
        RELOAD_UNREADABLE,
        /** A start with a settings file of which the second half is written later. */
        START_BEFORE_SETTINGS,
        /** Bytes that are no valid message, or the start of a long one, over several connections. */
        HOSTILE_BYTES
    }

    @Override
    public String toString() {
        return String.format("%.1fs %s", atMs / 1_000, kind);
    }
}
