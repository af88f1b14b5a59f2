package dewplank.emulator.fleet;

import com.google.gson.JsonArray;
import com.google.gson.JsonObject;
import java.util.List;

/**
 * A route of a configuration that the operator sends.
 *
 * @param timeoutMs the maximum duration of a request
 * @param isPublic whether requests are admitted without an access key
 */
public record RouteSpec(
        String name,
        String host,
        String prefix,
        Kind kind,
        List<WeightedService> split,
        int maxAttempts,
        int timeoutMs,
        boolean isPublic) {
    /** The type of a route, which determines what may be retried. */
    public enum Kind {
        SAFE("safe", false),
        UNSAFE("unsafe", false),
        STREAM("streaming", false),
        RESUMABLE("streaming", true);

        private final String type;
        private final boolean resumable;

        Kind(String type, boolean resumable) {
            this.type = type;
            this.resumable = resumable;
        }

        /** Whether the responses are streams of events. */
        public boolean streaming() {
            return type.equals("streaming");
        }

        /** Whether a request may run more than once (RFC 9110, section 9.2.2). */
        public boolean idempotent() {
            return this == SAFE || resumable;
        }
    }

    private static final int MAX_ATTEMPTS = 3;
    private static final int TIMEOUT_MS = 8_000;
    private static final int TARGET_LATENCY_MS = 1_000;
    private static final int TARGET_GAP_MS = 250;

    public RouteSpec {
        split = List.copyOf(split);
    }

    /** Creates a route to one service, with a path prefix that is derived from the route's name. */
    public static RouteSpec to(String service, String name, Kind kind) {
        return new RouteSpec(
                name,
                "fleet.example",
                "/" + name + "/",
                kind,
                List.of(new WeightedService(service, 1)),
                MAX_ATTEMPTS,
                TIMEOUT_MS,
                false);
    }

    /** Returns a copy whose requests need no access key. */
    public RouteSpec withPublicAccess() {
        return new RouteSpec(name, host, prefix, kind, split, maxAttempts, timeoutMs, true);
    }

    /** Returns a copy that routes to another service. */
    public RouteSpec withService(String service) {
        return new RouteSpec(
                name, host, prefix, kind, List.of(new WeightedService(service, 1)), maxAttempts, timeoutMs, isPublic);
    }

    JsonObject json() {
        JsonObject document = new JsonObject();
        document.addProperty("name", name);
        document.addProperty("host_name", host);
        document.addProperty("path_prefix", prefix);
        document.addProperty("route_type", kind.type);
        document.addProperty("timeout_ms", timeoutMs);
        document.addProperty("target_latency_ms", TARGET_LATENCY_MS);
        document.addProperty("priority", 0);
        document.add("weighted_split", weights());
        document.addProperty("max_attempts", maxAttempts);
        document.addProperty("sticky", kind.streaming());
        document.addProperty("resumable", kind.resumable);
        if (isPublic) {
            document.addProperty("public", true);
        }
        if (kind.streaming()) {
            document.addProperty("gap_aim_ms", TARGET_GAP_MS);
        }
        return document;
    }

    private JsonArray weights() {
        JsonArray weights = new JsonArray();
        split.forEach(weighted -> {
            JsonObject part = new JsonObject();
            part.addProperty("service", weighted.service());
            part.addProperty("weight", weighted.weight());
            weights.add(part);
        });
        return weights;
    }
}
