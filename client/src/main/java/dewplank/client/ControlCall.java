package dewplank.client;

import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;

/**
 * A call to the operators' API of a control plane.
 *
 * @param path with its slash
 * @param expectedVersion the version that a change builds on, sent as If-Match; null for calls that change nothing
 * @param body empty for calls that change nothing
 */
public record ControlCall(String method, String path, Long expectedVersion, byte[] body) {
    private static final String CONFIGURATION = "/configuration";

    /** Reads a path. */
    public static ControlCall get(String path) {
        return new ControlCall("GET", path, null, new byte[0]);
    }

    /** Reads one model server. */
    public static ControlCall server(String instanceId) {
        return get("/servers/" + URLEncoder.encode(instanceId, StandardCharsets.UTF_8));
    }

    /** Reads the newest configuration. */
    public static ControlCall configuration() {
        return get(CONFIGURATION);
    }

    /** Replaces the configuration of that version by a complete one. */
    public static ControlCall put(long expectedVersion, byte[] configuration) {
        return new ControlCall("PUT", CONFIGURATION, expectedVersion, configuration);
    }

    /** Applies a patch of items to that version. */
    public static ControlCall patch(long expectedVersion, byte[] patch) {
        return new ControlCall("PATCH", CONFIGURATION, expectedVersion, patch);
    }
}
