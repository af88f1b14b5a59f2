package dewplank.client;

import dewplank.settings.InvalidInputException;
import dewplank.settings.Json;
import dewplank.settings.ResultCode;
import java.nio.charset.StandardCharsets;
import java.util.Map;

/**
 * What a control sidecar answered.
 *
 * @param address the control sidecar that answered
 */
public record Answer(String address, int status, byte[] body) {
    private static final int FIRST_OK = 200;
    private static final int PAST_OK = 300;

    /** Whether the call was done. */
    public boolean done() {
        return status >= FIRST_OK && status < PAST_OK;
    }

    /** The body as text. */
    public String text() {
        return new String(body, StandardCharsets.UTF_8);
    }

    /** The body's fields. */
    public Map<String, Object> fields() {
        try {
            return Json.object(text());
        } catch (InvalidInputException e) {
            throw InvalidInputException.of(
                    ResultCode.ANSWER_UNREADABLE, "the answer of " + address + " can't be read: " + e.getMessage());
        }
    }

    /** Whether it has this result. */
    public boolean is(ResultCode code) {
        try {
            return Long.valueOf(code.number()).equals(fields().get("code"));
        } catch (InvalidInputException noResult) {
            return false;
        }
    }

    /** Number, name and detail of the result; the status where there is none. */
    public String result() {
        try {
            Map<String, Object> fields = fields();
            if (fields.get("code") instanceof Long number && fields.get("result") instanceof String name) {
                return number + " " + name + (fields.get("detail") instanceof String detail ? ": " + detail : "");
            }
        } catch (InvalidInputException noResult) {
            // the status says all there is
        }
        return "status " + status;
    }

    /** This answer, if the call was done. */
    public Answer orRefused() {
        if (!done()) {
            throw new InvalidInputException(result());
        }
        return this;
    }
}
