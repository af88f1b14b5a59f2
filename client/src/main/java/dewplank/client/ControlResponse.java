package dewplank.client;

import dewplank.settings.InvalidInputException;
import dewplank.settings.Json;
import dewplank.settings.ResultCode;
import java.nio.charset.StandardCharsets;
import java.util.Map;

/**
 * A control plane's HTTP response to a {@link ControlCall}.
 *
 * @param address the control plane that responded; after a redirect it differs from the one called first
 * @param status the HTTP status
 * @param body the unchanged bytes of the response body; results are JSON objects with a numbered code
 */
public record ControlResponse(String address, int status, byte[] body) {
    private static final int MIN_SUCCESS = 200;
    private static final int MIN_NON_SUCCESS = 300;

    /** Whether the status is 2xx. */
    public boolean isSuccess() {
        return status >= MIN_SUCCESS && status < MIN_NON_SUCCESS;
    }

    /** Returns the body as text. */
    public String text() {
        return new String(body, StandardCharsets.UTF_8);
    }

    /**
     * Returns the fields of the body.
     *
     * @throws InvalidInputException if it is not a JSON object
     */
    public Map<String, Object> fields() {
        try {
            return Json.object(text());
        } catch (InvalidInputException e) {
            throw InvalidInputException.of(
                    ResultCode.ANSWER_UNREADABLE,
                    "the response from " + address + " can't be parsed: " + e.getMessage());
        }
    }

    /** Whether the body contains this result code. */
    public boolean hasResult(ResultCode code) {
        try {
            return Long.valueOf(code.number()).equals(fields().get("code"));
        } catch (InvalidInputException noResult) {
            return false;
        }
    }

    /** Returns the number, name and detail of the result, or the status if the body has no result. */
    public String result() {
        try {
            Map<String, Object> fields = fields();
            if (fields.get("code") instanceof Long number && fields.get("result") instanceof String name) {
                return number + " " + name + (fields.get("detail") instanceof String detail ? ": " + detail : "");
            }
        } catch (InvalidInputException noResult) {
            // The body has no result, so the status is returned below.
        }
        return "status " + status;
    }

    /**
     * Returns this response if it is a success.
     *
     * @throws InvalidInputException with the result as its message, if it is not a success
     */
    public ControlResponse requireSuccess() {
        if (!isSuccess()) {
            throw new InvalidInputException(result());
        }
        return this;
    }
}
