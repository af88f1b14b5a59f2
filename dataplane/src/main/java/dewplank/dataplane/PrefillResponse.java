package dewplank.dataplane;

import com.jsoniter.JsonIterator;
import com.jsoniter.ValueType;
import com.jsoniter.any.Any;
import com.jsoniter.spi.JsonException;
import java.util.Optional;

/** A prefill server's answer: where the KV cache of a prompt is kept. */
record PrefillResponse(String handle, long tokens) {
    /** Empty where the body is not such an answer. */
    static Optional<PrefillResponse> parse(byte[] body) {
        try {
            Any any = JsonIterator.deserialize(body);
            Any named = any.get("context_handle");
            String handle = named.valueType() == ValueType.STRING ? named.toString() : "";
            boolean usable = !handle.isEmpty() && handle.chars().allMatch(c -> c > ' ' && c < 127 && c != '/');
            return usable ? Optional.of(new PrefillResponse(handle, any.toLong("token_count"))) : Optional.empty();
        } catch (JsonException | ArrayIndexOutOfBoundsException e) {
            return Optional.empty();
        }
    }
}
