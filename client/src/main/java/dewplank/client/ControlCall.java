package dewplank.client;

import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;

/**
 * A call to the operators' API of a control plane.
 *
 * @param path the path of the request, which starts with a slash
 * @param expectedVersion the version that a change is based on, sent as If-Match; null for read-only calls
 * @param body the body of the request; empty for read-only calls
 */
public record ControlCall(String method, String path, Long expectedVersion, byte[] body) {
    private static final String CONFIGURATION = "/configuration";

    /** Returns a call that reads a path. */
    public static ControlCall get(String path) {
        return new ControlCall("GET", path, null, new byte[0]);
    }

    /** Returns a call that reads one model server. */
    public static ControlCall server(String instanceId) {
        return get("/servers/" + URLEncoder.encode(instanceId, StandardCharsets.UTF_8));
    }

    /** Returns a call that reads the newest configuration. */
    public static ControlCall configuration() {
        return get(CONFIGURATION);
    }

    /** Returns a call that replaces the configuration with the expected version by a complete one. */
    public static ControlCall put(long expectedVersion, byte[] configuration) {
        return new ControlCall("PUT", CONFIGURATION, expectedVersion, configuration);
    }

    /** Returns a call that applies a patch to the configuration with the expected version. */
    public static ControlCall patch(long expectedVersion, byte[] patch) {
        return new ControlCall("PATCH", CONFIGURATION, expectedVersion, patch);
    }
}
