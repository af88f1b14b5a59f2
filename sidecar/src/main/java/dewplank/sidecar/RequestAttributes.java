package dewplank.sidecar;

import dewplank.http.Cookies;
import dewplank.http.Headers;
import java.util.List;
import java.util.Set;

/**
 * The attributes of a request that the balancer uses in addition to its class, read from the request's headers.
 *
 * <p>The headers are forwarded unchanged.
 *
 * @param tenant a tenant in the settings; null if the headers name none, an unknown one or several
 * @param key the affinity key; null if it is missing, ambiguous or longer than {@link #MAX_KEY_LENGTH}
 * @param costMs expected work in milliseconds of a standard core, or null
 */
record RequestAttributes(String tenant, String key, Double costMs) {
    static final int MAX_KEY_LENGTH = 128; // characters; the balancer stores several thousand keys
    private static final double MAX_COST_MS = 3_600_000;

    static RequestAttributes of(Headers headers, Set<String> tenants) {
        List<Headers.Field> fields = headers.endToEnd();
        String tenant = headers.get("X-Customer"); // repeated headers are joined with a comma, so they name no tenant
        String key = Cookies.value(fields, "k");
        return new RequestAttributes(
                tenants.contains(tenant) ? tenant : null,
                key == null || key.length() > MAX_KEY_LENGTH ? null : key,
                positiveProperty(headers.get("X-Props"), "Work"));
    }

    /** Returns the number of this name in {@code name=value,name=value}; null if it is missing, repeated or invalid. */
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
