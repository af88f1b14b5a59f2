package dewplank.emulator.fleet;

import com.google.gson.JsonArray;
import com.google.gson.JsonObject;
import java.util.List;

/**
 * A tenant of a configuration that the operator sends. Immutable.
 *
 * @param accessKeys empty if all keys were revoked
 * @param ratePerSecond requests that the fleet admits per second; 0 if there is no limit
 * @param burstSize requests that the fleet admits in a burst beyond the rate
 */
public record TenantSpec(String name, List<String> accessKeys, int ratePerSecond, int burstSize) {
    public TenantSpec {
        accessKeys = List.copyOf(accessKeys);
    }

    /** Creates a tenant with one key and without a limit. */
    public static TenantSpec unlimited(String name, String accessKey) {
        return new TenantSpec(name, List.of(accessKey), 0, 0);
    }

    /** Returns a copy with the given limit. */
    public TenantSpec withLimit(int requestsPerSecond, int burst) {
        return new TenantSpec(name, accessKeys, requestsPerSecond, burst);
    }

    /** Returns a copy without access keys. */
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
