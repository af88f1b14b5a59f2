package dewplank.configuration;

import dewplank.configuration.JsonValue.JsonObject;
import dewplank.configuration.JsonValue.JsonString;
import java.util.ArrayList;
import java.util.List;

/** Reads and checks one service. */
final class ServiceReader {
    private static final double MS_PER_SECOND = 1_000;

    private final JsonObjectReader fields;

    private ServiceReader(JsonObjectReader fields) {
        this.fields = fields;
    }

    /** The service of that name that the object describes. */
    static Service read(String name, JsonObject object) throws InvalidConfigurationException {
        return new ServiceReader(new JsonObjectReader(object, NamedItem.SERVICES, name)).service(name);
    }

    private Service service(String name) throws InvalidConfigurationException {
        return new Service(
                name,
                fields.string("health_path", "/health"),
                fields.whole("max_connections", Integer.MAX_VALUE, 1),
                fields.string("protocol", "h1"),
                fields.bool("tls_mode", false),
                engine(fields.object("engine")));
    }

    private static EngineProfile engine(JsonObjectReader engine) throws InvalidConfigurationException {
        if (engine == null) {
            return null;
        }
        return new EngineProfile(
                engine.whole("slot_count", 1, 1),
                engine.wholeLong("kv_tokens", 0, 0),
                engine.wholeLong("kv_token_bytes", 0, 0),
                engine.number("link_mbps", 0, 0),
                engine.whole("stride", 1, 1),
                engine.number("context_hold_s", 0, 0) * MS_PER_SECOND,
                engine.number("switch_s", 0, 0) * MS_PER_SECOND,
                models(engine));
    }

    private static List<String> models(JsonObjectReader engine) throws InvalidConfigurationException {
        List<String> models = new ArrayList<>();
        for (JsonValue model : engine.elements("models")) {
            String path = engine.path("models[" + models.size() + "]");
            models.add(
                    model instanceof JsonString name
                            ? name.text()
                            : JsonObjectReader.of(model, path).name());
        }
        return models;
    }
}
