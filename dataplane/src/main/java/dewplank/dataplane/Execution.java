package dewplank.dataplane;

/** Whether the request may have run at the server of a failed attempt. */
enum Execution {
    /** No byte of the request was sent, so the attempt does not count. */
    IMPOSSIBLE,
    /** The server may have read a part of the request, so only an idempotent request may be retried. */
    POSSIBLE
}
