package dewplank.configuration;

import dewplank.configuration.InvalidConfigurationException.Reason;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/** The index of tenants by access key and by name. Immutable once it is built, so any thread may use it. */
public final class TenantDirectory {
    private final Map<AccessKeyDigest, Tenant> byKey = new HashMap<>();
    private final Map<String, Tenant> byName = new HashMap<>();

    /** Builds the directory of these tenants; throws if two of them have the same key. */
    TenantDirectory(List<Tenant> tenants) throws InvalidConfigurationException {
        for (Tenant tenant : tenants) {
            byName.put(tenant.name(), tenant);
            for (AccessKeyDigest key : tenant.keys()) {
                Tenant other = byKey.putIfAbsent(key, tenant);
                if (other != null && !other.equals(tenant)) {
                    throw sharedKey(tenant, other);
                }
            }
        }
    }

    private static InvalidConfigurationException sharedKey(Tenant tenant, Tenant other) {
        return new InvalidConfigurationException(
                Reason.SHARED_KEY,
                NamedItem.TENANTS + "[" + tenant.name() + "].access_keys",
                "tenant " + other.name() + " holds one of its keys");
    }

    /** Returns the tenant that has the key; empty if there is none. */
    public Optional<Tenant> findByKey(AccessKeyDigest key) {
        return Optional.ofNullable(byKey.get(key));
    }

    /** Returns the tenant with this name; empty if there is none. */
    public Optional<Tenant> findByName(String name) {
        return Optional.ofNullable(byName.get(name));
    }
}
