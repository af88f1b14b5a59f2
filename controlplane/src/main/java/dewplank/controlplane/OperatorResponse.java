package dewplank.controlplane;

import dewplank.http.Headers;
import dewplank.settings.ResultCode;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

/**
 * A response of the operators' interface. Its body is always JSON.
 *
 * @param status the HTTP status
 * @param headers the headers, except those that frame the body
 */
record OperatorResponse(int status, List<Headers.Field> headers, byte[] body) {
    private static final int STATUS_OK = 200;
    private static final Headers.Field JSON = new Headers.Field("Content-Type", "application/json");

    /** A successful response whose body is the given JSON document. */
    static OperatorResponse document(byte[] json) {
        return new OperatorResponse(STATUS_OK, List.of(JSON), json);
    }

    /** A successful response whose body is the given JSON document. */
    static OperatorResponse document(String json) {
        return document(json.getBytes(StandardCharsets.UTF_8));
    }

    /**
     * A response with a result code and its HTTP status.
     *
     * @param detail an explanation for operators
     * @param fields further fields of the body, as formatted by {@link JsonText}
     */
    static OperatorResponse result(ResultCode code, String detail, String... fields) {
        return new OperatorResponse(code.status(), List.of(JSON), body(code, detail, fields));
    }

    /** A response with a result code, its HTTP status and one additional header. */
    static OperatorResponse resultWithHeader(ResultCode code, String detail, String headerName, String headerValue) {
        return new OperatorResponse(
                code.status(), List.of(JSON, new Headers.Field(headerName, headerValue)), body(code, detail));
    }

    private static byte[] body(ResultCode code, String detail, String... further) {
        List<String> fields = new ArrayList<>(List.of(
                JsonText.rawField("code", code.number()),
                JsonText.field("result", code.name()),
                JsonText.field("detail", detail)));
        fields.addAll(List.of(further));
        return (JsonText.object(fields.toArray(String[]::new)) + "\n").getBytes(StandardCharsets.UTF_8);
    }
}
