package dewplank.controlplane;

import dewplank.settings.ResultCode;

/** An operator's call can't be carried out as it was sent; the caller gets the numbered result. */
final class RejectedCallException extends Exception {
    private final ResultCode code;

    /** @param detail for the person who reads it */
    RejectedCallException(ResultCode code, String detail) {
        super(detail);
        this.code = code;
    }

    OperatorResponse response() {
        return OperatorResponse.result(code, getMessage());
    }
}
