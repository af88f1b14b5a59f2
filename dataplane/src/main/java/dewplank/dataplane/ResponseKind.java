package dewplank.dataplane;

import dewplank.http.Headers;

/**
 * What a server's response to an attempt means for the request, as the section "Servers" of the operators' protocol
 * defines it.
 */
enum ResponseKind {
    /** The server states that it did not run the request, so the request may be sent to another server. */
    NOT_EXECUTED,
    /** A 2xx response that was not modified in transit: it has the server's seal and no content encoding. */
    SUCCESS,
    /** A final failure. It is safe to relay because it does not imply that the request did not run. */
    FINAL_FAILURE,
    /** A failure that may not occur at another server. It is relayed unchanged to the client if no retry is allowed. */
    SERVER_FAILURE,
    /**
     * A response that must not be relayed: its seal is missing, or it may wrongly imply that the request did not run.
     */
    UNUSABLE;

    static ResponseKind of(int status, Headers headers) {
        if (headers.get(HeaderNames.NOT_EXECUTED) != null || status == 421) {
            return NOT_EXECUTED;
        }
        if (status >= 200 && status < 300) {
            boolean unchanged = headers.get(HeaderNames.SEAL) != null && headers.get("Content-Encoding") == null;
            return unchanged ? SUCCESS : UNUSABLE;
        }
        if (status >= 300 && status < 500 && status != 408 && status != 429) {
            return FINAL_FAILURE;
        }
        return status == 500 || status == 504 ? SERVER_FAILURE : UNUSABLE;
    }

    /** Whether a status other than 2xx is one that a healthy server sends. */
    static boolean isHealthyFailure(int status) {
        return status >= 300 && status < 500;
    }
}
