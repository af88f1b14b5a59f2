package dewplank.configuration;

import dewplank.configuration.JsonValue.JsonObject;
import dewplank.configuration.JsonValue.JsonString;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/** Parses and validates one service. */
final class ServiceReader {
    private static final double MS_PER_SECOND = 1_000;

    private final JsonObjectReader fields;

    private ServiceReader(JsonObjectReader fields) {
        this.fields = fields;
    }

    /** Reads the service with this name from an object. */
    static Service read(String name, JsonObject object) throws InvalidConfigurationException {
        return new ServiceReader(new JsonObjectReader(object, NamedItem.SERVICES, name)).readService(name);
    }

    private Service readService(String name) throws InvalidConfigurationException {
        return new Service(
                name,
                fields.stringValue("health_path", "/health"),
                fields.intValue("max_connections", Integer.MAX_VALUE, 1),
                fields.stringValue("protocol", "h1"),
                fields.booleanValue("tls_mode", false),
                readEngine(fields.object("engine")));
    }

    private static EngineProfile readEngine(Optional<JsonObjectReader> present) throws InvalidConfigurationException {
        if (present.isEmpty()) {
            return null;
        }
        JsonObjectReader engine = present.get();
        return new EngineProfile(
                engine.intValue("slot_count", 1, 1),
                engine.longValue("kv_tokens", 0, 0),
                engine.longValue("kv_token_bytes", 0, 0),
                engine.doubleValue("link_mbps", 0, 0),
                engine.intValue("stride", 1, 1),
                engine.doubleValue("context_hold_s", 0, 0) * MS_PER_SECOND,
                engine.doubleValue("switch_s", 0, 0) * MS_PER_SECOND,
                readModels(engine));
    }

    private static List<String> readModels(JsonObjectReader engine) throws InvalidConfigurationException {
        List<String> models = new ArrayList<>();
        for (JsonValue model : engine.elements("models")) {
            String path = engine.path("models[" + models.size() + "]");
            models.add(
                    model instanceof JsonString name
                            ? name.text()
                            : JsonObjectReader.ofValue(model, path).name());
        }
        return models;
    }
}
