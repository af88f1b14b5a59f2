package dewplank.dataplane;

import com.jsoniter.JsonIterator;
import com.jsoniter.ValueType;
import com.jsoniter.any.Any;
import com.jsoniter.spi.JsonException;
import java.util.Optional;

/**
 * A prefill server's response: the handle under which it stores the prompt's KV cache.
 *
 * @param handle printable ASCII without a slash; not empty
 * @param tokens number of tokens of the prompt
 */
record PrefillResponse(String handle, long tokens) {
    /** Returns empty if the body is not a valid prefill response. */
    static Optional<PrefillResponse> parse(byte[] body) {
        try {
            Any any = JsonIterator.deserialize(body);
            Any named = any.get("context_handle");
            String handle = named.valueType() == ValueType.STRING ? named.toString() : "";
            return isUsable(handle)
                    ? Optional.of(new PrefillResponse(handle, any.toLong("token_count")))
                    : Optional.empty();
        } catch (JsonException | ArrayIndexOutOfBoundsException e) { // jsoniter throws the second one on truncated JSON
            return Optional.empty();
        }
    }

    /** The handle becomes a part of a path and of a header field, which limits its characters. */
    private static boolean isUsable(String handle) {
        return !handle.isEmpty() && handle.chars().allMatch(c -> c > ' ' && c < 127 && c != '/');
    }
}
