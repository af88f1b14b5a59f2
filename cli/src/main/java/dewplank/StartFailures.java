package dewplank;

import dewplank.settings.InvalidInputException;
import dewplank.settings.ResultCode;
import dewplank.store.StoreException;
import java.net.BindException;

/** Creates the error message for the operator when a program of the fleet can't start. Only loaded in that case. */
final class StartFailures {
    private StartFailures() {}

    static InvalidInputException of(Exception failure) {
        if (failure instanceof StoreException) {
            Throwable cause = failure.getCause();
            return InvalidInputException.of(
                    ResultCode.DISK_NOT_USABLE, failure.getMessage() + (cause == null ? "" : ": " + cause));
        }
        if (failure instanceof BindException) {
            return InvalidInputException.of(
                    ResultCode.ADDRESS_NOT_USABLE,
                    "an address of listen_addresses, or ip_address with a"
                            + " port of internal_port_range, can't be listened on: " + failure.getMessage());
        }
        return InvalidInputException.of(ResultCode.START_FAILED, failure.toString());
    }
}
