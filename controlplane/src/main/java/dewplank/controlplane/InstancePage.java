package dewplank.controlplane;

import com.jsoniter.JsonIterator;
import com.jsoniter.ValueType;
import com.jsoniter.any.Any;
import com.jsoniter.spi.JsonException;
import dewplank.message.Endpoint;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/**
 * One page of the platform's list: the body of {@code GET /instances}.
 *
 * @param nextToken token of the next page; empty on the last page
 */
record InstancePage(List<Endpoint> instances, Optional<String> nextToken) {
    /** Parses a page; an instance without its id, service, address or zone makes the page unreadable. */
    static InstancePage parse(byte[] body) throws UnreadableResponseException {
        try {
            Any page = JsonIterator.deserialize(body);
            if (page.get("instances").valueType() != ValueType.ARRAY) {
                throw new JsonException("instances is missing");
            }
            List<Endpoint> instances = new ArrayList<>();
            for (Any instance : page.get("instances")) {
                instances.add(endpoint(instance));
            }
            Any token = page.get("next_token");
            return new InstancePage(
                    instances,
                    token.valueType() == ValueType.STRING ? Optional.of(token.toString()) : Optional.empty());
        } catch (JsonException | ArrayIndexOutOfBoundsException e) { // jsoniter throws the latter on truncated text
            throw new UnreadableResponseException(e);
        }
    }

    private static Endpoint endpoint(Any instance) {
        Any stage = instance.get("stage");
        return new Endpoint(
                requiredText(instance, "instance_id"),
                requiredText(instance, "service"),
                requiredText(instance, "address"),
                requiredText(instance, "zone"),
                instance.toInt("slot_count"),
                "draining".equals(instance.toString("state")),
                instance.get("cold_remaining_ms").valueType() == ValueType.NUMBER
                        ? instance.toDouble("cold_remaining_ms")
                        : 0,
                stage.valueType() == ValueType.STRING ? stage.toString() : null);
    }

    private static String requiredText(Any instance, String key) {
        Any value = instance.get(key);
        if (value.valueType() != ValueType.STRING) {
            throw new JsonException(key + " is missing");
        }
        return value.toString();
    }
}
