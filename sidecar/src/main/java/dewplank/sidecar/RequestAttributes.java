package dewplank.sidecar;

import dewplank.http.Cookies;
import dewplank.http.Headers;
import java.util.List;
import java.util.Set;

/**
 * What a request's fields say to the module beside its class: whose it is, what it is about, what it may cost. They are
 * passed on as they came, whatever is made of them here.
 *
 * @param tenant one that the settings name; null for none, a stranger, or more than one
 * @param key what the request is about; null for none, or one that cannot be told or is over {@link #MOST_KEY} long
 * @param cost expected work in milliseconds of a standard core, or null
 */
record RequestAttributes(String tenant, String key, Double costMs) {
    static final int MAX_KEY_LENGTH = 128; // characters; the module remembers some thousands of keys
    private static final double MAX_COST_MS = 3_600_000;

    static RequestAttributes of(Headers headers, Set<String> tenants) {
        List<Headers.Field> fields = headers.endToEnd();
        String tenant = headers.get("X-Customer"); // two such fields come as one with a comma, which none is named
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
