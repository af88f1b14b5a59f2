package dewplank.dataplane;

/** Whether a failed attempt may have run the request at its server. */
enum Execution {
    /** No byte of the request left this process: the attempt does not count. */
    IMPOSSIBLE,
    /** A part of the request may have been read: only an idempotent request may be sent again. */
    POSSIBLE
}
