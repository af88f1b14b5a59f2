package dewplank.controlplane;

import dewplank.settings.ResultCode;

/** Thrown if an operator's call is invalid; the caller gets the numbered result. */
final class RejectedCallException extends Exception {
    private final ResultCode code;

    /** @param detail an explanation for operators */
    RejectedCallException(ResultCode code, String detail) {
        super(detail);
        this.code = code;
    }

    OperatorResponse response() {
        return OperatorResponse.result(code, getMessage());
    }
}
