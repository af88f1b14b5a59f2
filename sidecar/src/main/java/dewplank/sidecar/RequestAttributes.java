package dewplank.sidecar;

import dewplank.http.Cookies;
import dewplank.http.Headers;
import java.util.List;
import java.util.Set;

/**
 * What the balancer learns of a request beside its class, read from the request's headers.
 *
 * <p>The headers are forwarded as they came, whatever is read here.
 *
 * @param tenant one that the settings name; null for none, an unknown one, or more than one
 * @param key the affinity key; null for none, an ambiguous one, or one longer than {@link #MAX_KEY_LENGTH}
 * @param costMs expected work in milliseconds of a standard core, or null
 */
record RequestAttributes(String tenant, String key, Double costMs) {
    static final int MAX_KEY_LENGTH = 128; // characters; the balancer remembers some thousands of keys
    private static final double MAX_COST_MS = 3_600_000;

    static RequestAttributes of(Headers headers, Set<String> tenants) {
        List<Headers.Field> fields = headers.endToEnd();
        String tenant = headers.get("X-Customer"); // two such headers come as one with a comma: unknown
        String key = Cookies.value(fields, "k");
        return new RequestAttributes(
                tenants.contains(tenant) ? tenant : null,
                key == null || key.length() > MAX_KEY_LENGTH ? null : key,
                positiveProperty(headers.get("X-Props"), "Work"));
    }

    /** The figure of that name in {@code name=value,name=value}; null where it is missing, doubled or no figure. */
    private static Double positiveProperty(String properties, String name) {
        Double found = null;
        for (String pair : properties == null ? new String[0] : properties.split(",")) {
            int equals = pair.indexOf('=');
            if (equals < 0 || !pair.substring(0, equals).strip().equals(name)) {
                continue;
            }
            if (found != null) {
                return null;
            }
            try {
                found = Double.valueOf(pair.substring(equals + 1).strip());
            } catch (NumberFormatException e) {
                return null;
            }
        }
        return found != null && found > 0 && found <= MAX_COST_MS ? found : null;
    }
}
