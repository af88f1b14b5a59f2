package dewplank.dataplane;

import dewplank.http.Headers;

/** What a server's answer to an attempt means for the request, by the operators' protocol (PROTOCOL, Servers). */
enum AnswerKind {
    /** The server says that it did not run the request: it may go to another server. */
    NOT_EXECUTED,
    /** A 2xx as it left the server: sealed, and not encoded on its way. */
    SUCCESS,
    /** The server's last word on the request, which promises nothing that is untrue of one that ran. */
    FINAL_FAILURE,
    /** A failure that another server may not have; the client gets it as it is where no retry is allowed. */
    SERVER_FAILURE,
    /** An answer that the client must not see: it lacks its seal, or promises what cannot be known. */
    UNUSABLE;

    static AnswerKind of(int status, Headers headers) {
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

    /** Whether a status that is no 2xx is one that a healthy server sends. */
    static boolean isHealthyFailure(int status) {
        return status >= 300 && status < 500;
    }
}
