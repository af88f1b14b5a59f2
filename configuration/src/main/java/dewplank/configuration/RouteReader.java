package dewplank.configuration;

import dewplank.configuration.InvalidConfigurationException.Reason;
import dewplank.configuration.JsonValue.JsonObject;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;

/**
 * Parses and validates one route by itself; {@link RouteValidator} checks it against the other items of the complete
 * configuration.
 */
final class RouteReader {
    private static final String SLASH = "/";

    private final JsonObjectReader fields;

    private RouteReader(JsonObjectReader fields) {
        this.fields = fields;
    }

    /** Reads the route with this name from an object. */
    static Route read(String name, JsonObject object) throws InvalidConfigurationException {
        return new RouteReader(new JsonObjectReader(object, NamedItem.ROUTES, name)).readRoute(name);
    }

    private Route readRoute(String name) throws InvalidConfigurationException {
        double timeoutMs = readTimeoutMs();
        return new Route(
                name,
                fields.stringValue("host_name").toLowerCase(Locale.ROOT),
                readPathPrefix(),
                readType(),
                timeoutMs,
                fields.doubleValue("target_latency_ms", timeoutMs, 0),
                fields.intValue("priority", 0, 0),
                readSplit(),
                fields.intValue("max_attempts", 1, 1),
                fields.booleanValue("sticky", false),
                fields.booleanValue("resumable", false),
                fields.booleanValue("public", false),
                fields.doubleValue("gap_aim_ms", 0, 0));
    }

    private double readTimeoutMs() throws InvalidConfigurationException {
        double timeoutMs = fields.doubleValue("timeout_ms");
        if (timeoutMs <= 0) {
            throw fields.error(Reason.BAD_TIMEOUT, "timeout_ms", "is not above 0");
        }
        return timeoutMs;
    }

    private String readPathPrefix() throws InvalidConfigurationException {
        String prefix = fields.stringValue("path_prefix");
        if (!prefix.startsWith(SLASH) || !prefix.endsWith(SLASH)) {
            throw fields.error(Reason.BAD_PREFIX, "path_prefix", "does not begin and end with a slash");
        }
        return prefix;
    }

    /** Reads the type, which defaults to the most restrictive one. */
    private RouteType readType() throws InvalidConfigurationException {
        return switch (fields.stringValue("route_type", "unsafe")) {
            case "safe" -> RouteType.SAFE;
            case "unsafe" -> RouteType.UNSAFE;
            case "streaming" -> RouteType.STREAMING;
            default -> throw fields.error(Reason.UNKNOWN_ROUTE_TYPE, "route_type", "is none that is known");
        };
    }

    private List<WeightedService> readSplit() throws InvalidConfigurationException {
        List<JsonValue> parts = fields.elements("weighted_split");
        if (!parts.isEmpty()) {
            return readWeightedSplit(parts);
        }
        if (fields.has("service")) {
            return List.of(new WeightedService(fields.stringValue("service"), 1));
        }
        if (fields.has("weighted_split")) {
            throw fields.error(Reason.BAD_WEIGHTS, "weighted_split", "is empty");
        }
        throw fields.error(Reason.NO_SERVICE, "service", "neither a service nor a split");
    }

    private List<WeightedService> readWeightedSplit(List<JsonValue> parts) throws InvalidConfigurationException {
        List<WeightedService> split = new ArrayList<>(parts.size());
        double sum = 0;
        for (JsonValue part : parts) {
            JsonObjectReader entry =
                    JsonObjectReader.ofValue(part, fields.path("weighted_split[" + split.size() + "]"));
            double weight = entry.doubleValue("weight");
            if (weight < 0) {
                throw entry.error(Reason.BAD_WEIGHTS, "weight", "is negative");
            }
            sum += weight;
            split.add(new WeightedService(entry.stringValue("service"), weight));
        }
        if (sum <= 0 || Double.isInfinite(sum)) {
            throw fields.error(Reason.BAD_WEIGHTS, "weighted_split", "the weights add up to nothing that can be used");
        }
        return split;
    }
}
