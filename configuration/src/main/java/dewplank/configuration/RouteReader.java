package dewplank.configuration;

import dewplank.configuration.InvalidConfigurationException.Reason;
import dewplank.configuration.JsonValue.JsonObject;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;

/** Reads and checks one route by itself; what it shares with other items is checked over the whole configuration. */
final class RouteReader {
    private static final String SLASH = "/";

    private final JsonObjectReader fields;

    private RouteReader(JsonObjectReader fields) {
        this.fields = fields;
    }

    /** The route of that name that the object describes. */
    static Route read(String name, JsonObject object) throws InvalidConfigurationException {
        return new RouteReader(new JsonObjectReader(object, NamedItem.ROUTES, name)).route(name);
    }

    private Route route(String name) throws InvalidConfigurationException {
        double timeoutMs = timeout();
        return new Route(
                name,
                fields.string("host_name").toLowerCase(Locale.ROOT),
                prefix(),
                type(),
                timeoutMs,
                fields.number("target_latency_ms", timeoutMs, 0),
                fields.whole("priority", 0, 0),
                split(),
                fields.whole("max_attempts", 1, 1),
                fields.bool("sticky", false),
                fields.bool("resumable", false),
                fields.number("gap_aim_ms", 0, 0));
    }

    private double timeout() throws InvalidConfigurationException {
        double timeoutMs = fields.number("timeout_ms");
        if (timeoutMs <= 0) {
            throw fields.fault(Reason.BAD_TIMEOUT, "timeout_ms", "is not above 0");
        }
        return timeoutMs;
    }

    private String prefix() throws InvalidConfigurationException {
        String prefix = fields.string("path_prefix");
        if (!prefix.startsWith(SLASH) || !prefix.endsWith(SLASH)) {
            throw fields.fault(Reason.BAD_PREFIX, "path_prefix", "does not begin and end with a slash");
        }
        return prefix;
    }

    /** The type; where it is absent the one that allows the least. */
    private RouteType type() throws InvalidConfigurationException {
        return switch (fields.string("route_type", "unsafe")) {
            case "safe" -> RouteType.SAFE;
            case "unsafe" -> RouteType.UNSAFE;
            case "streaming" -> RouteType.STREAMING;
            default -> throw fields.fault(Reason.UNKNOWN_ROUTE_TYPE, "route_type", "is none that is known");
        };
    }

    private List<WeightedService> split() throws InvalidConfigurationException {
        List<JsonValue> parts = fields.elements("weighted_split");
        if (!parts.isEmpty()) {
            return weighted(parts);
        }
        if (fields.has("service")) {
            return List.of(new WeightedService(fields.string("service"), 1));
        }
        if (fields.has("weighted_split")) {
            throw fields.fault(Reason.BAD_WEIGHTS, "weighted_split", "is empty");
        }
        throw fields.fault(Reason.NO_SERVICE, "service", "neither a service nor a split");
    }

    private List<WeightedService> weighted(List<JsonValue> parts) throws InvalidConfigurationException {
        List<WeightedService> split = new ArrayList<>(parts.size());
        double sum = 0;
        for (JsonValue part : parts) {
            JsonObjectReader share = JsonObjectReader.of(part, fields.path("weighted_split[" + split.size() + "]"));
            double weight = share.number("weight");
            if (weight < 0) {
                throw share.fault(Reason.BAD_WEIGHTS, "weight", "is negative");
            }
            sum += weight;
            split.add(new WeightedService(share.string("service"), weight));
        }
        if (sum <= 0 || Double.isInfinite(sum)) {
            throw fields.fault(Reason.BAD_WEIGHTS, "weighted_split", "the weights add up to nothing that can be used");
        }
        return split;
    }
}
