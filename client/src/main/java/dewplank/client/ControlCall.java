package dewplank.client;

import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;

/**
 * A call to the operators' interface.
 *
 * @param path  with its slash
 * @param on    the version that a change builds on; null for calls that change nothing
 * @param body  empty for calls that change nothing
 */
public record ControlCall(String method, String path, Long on, byte[] body) {
    private static final String CONFIGURATION = "/configuration";

    /** Reads what lies at a path. */
    public static ControlCall get(String path) {
        return new ControlCall("GET", path, null, new byte[0]);
    }

    /** Reads what is known of one server. */
    public static ControlCall server(String instanceId) {
        return get("/servers/" + URLEncoder.encode(instanceId, StandardCharsets.UTF_8));
    }

    /** Reads the newest configuration. */
    public static ControlCall configuration() {
        return get(CONFIGURATION);
    }

    /** Puts a whole configuration in the place of that version. */
    public static ControlCall put(long on, byte[] configuration) {
        return new ControlCall("PUT", CONFIGURATION, on, configuration);
    }

    /** Changes items on top of that version. */
    public static ControlCall patch(long on, byte[] patch) {
        return new ControlCall("PATCH", CONFIGURATION, on, patch);
    }
}
