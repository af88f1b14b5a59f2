package dewplank.controlplane;

import dewplank.settings.ResultCode;

/** Thrown if an operator's request is invalid; the response contains the result code. */
final class RejectedRequestException extends Exception {
    private final ResultCode code;

    /** @param detail an explanation for operators */
    RejectedRequestException(ResultCode code, String detail) {
        super(detail);
        this.code = code;
    }

    OperatorResponse response() {
        return OperatorResponse.result(code, getMessage());
    }
}
