package dewplank.emulator.fleet;

import com.google.gson.JsonArray;
import com.google.gson.JsonObject;

/** A service of a configuration that the operator sends. */
public record ServiceSpec(String name, Kind kind) {
    /** The kind of work that the service's servers run. */
    public enum Kind {
        /** Requests that are not divided into stages. */
        PLAIN,
        /** Generations, which are divided into the stages prefill and decode. */
        MODEL
    }

    private static final int MAX_CONNECTIONS = 300;
    private static final int SLOTS = 64;
    private static final int KV_TOKENS = 295_697;
    private static final int KV_TOKEN_BYTES = 163_840;
    private static final double LINK_MBPS = 1_300_000;

    /** Creates a service whose servers run requests that are not divided into stages. */
    public static ServiceSpec plain(String name) {
        return new ServiceSpec(name, Kind.PLAIN);
    }

    /** Creates a service whose servers run the stages prefill and decode. */
    public static ServiceSpec model(String name) {
        return new ServiceSpec(name, Kind.MODEL);
    }

    JsonObject json() {
        JsonObject document = new JsonObject();
        document.addProperty("name", name);
        document.addProperty("health_path", "/health");
        document.addProperty("max_connections", MAX_CONNECTIONS);
        document.addProperty("protocol", "h1");
        document.addProperty("tls_mode", false);
        if (kind == Kind.MODEL) {
            document.add("engine", engine());
        }
        return document;
    }

    private static JsonObject engine() {
        JsonObject engine = new JsonObject();
        engine.addProperty("slot_count", SLOTS);
        engine.addProperty("kv_tokens", KV_TOKENS);
        engine.addProperty("kv_token_bytes", KV_TOKEN_BYTES);
        engine.addProperty("link_mbps", LINK_MBPS);
        engine.addProperty("stride", 8);
        engine.addProperty("context_hold_s", 5.0);
        engine.addProperty("switch_s", 1.2);
        JsonArray models = new JsonArray();
        JsonObject model = new JsonObject();
        model.addProperty("name", "m");
        models.add(model);
        engine.add("models", models);
        return engine;
    }
}
