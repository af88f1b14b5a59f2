package dewplank.emulator.fleet;

import com.google.gson.JsonArray;
import com.google.gson.JsonObject;
import java.util.List;

/**
 * A tenant of a configuration that the operator sends. Immutable.
 *
 * @param accessKeys none where all were taken away
 * @param ratePerSecond requests that the fleet admits in a second; 0 where they are not limited
 * @param burstSize requests that the fleet admits beyond the rate
 */
public record TenantSpec(String name, List<String> accessKeys, int ratePerSecond, int burstSize) {
    /** Copies the keys. */
    public TenantSpec {
        accessKeys = List.copyOf(accessKeys);
    }

    /** A tenant with one key and without a limit. */
    public static TenantSpec unlimited(String name, String accessKey) {
        return new TenantSpec(name, List.of(accessKey), 0, 0);
    }

    /** The same tenant with this limit. */
    public TenantSpec limitedTo(int requestsPerSecond, int burst) {
        return new TenantSpec(name, accessKeys, requestsPerSecond, burst);
    }

    /** The same tenant, which holds no key any more. */
    public TenantSpec withoutKeys() {
        return new TenantSpec(name, List.of(), ratePerSecond, burstSize);
    }

    JsonObject json() {
        JsonArray keys = new JsonArray();
        accessKeys.forEach(keys::add);
        JsonObject document = new JsonObject();
        document.addProperty("name", name);
        document.add("access_keys", keys);
        document.addProperty("priority", 0);
        document.addProperty("rate_per_s", ratePerSecond);
        document.addProperty("burst_size", burstSize);
        return document;
    }
}
