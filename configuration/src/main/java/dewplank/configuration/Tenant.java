package dewplank.configuration;

import java.util.List;
import java.util.OptionalInt;

/**
 * A tenant of a configuration. Immutable.
 *
 * @param name its name, unique among tenants
 * @param keys the digests of its access keys; empty if all keys were revoked
 * @param priority the priority of its requests, 0 being the highest, which overrides the priority of the route; empty
 *     if not configured
 * @param ratePerSecond requests that the fleet admits per second; 0 if requests are not limited
 * @param burst requests that the fleet admits in excess of the rate
 */
public record Tenant(
        String name, List<AccessKeyDigest> keys, OptionalInt priority, double ratePerSecond, double burst) {
    /** Copies the list of keys. */
    public Tenant {
        keys = List.copyOf(keys);
    }

    /** Whether the rate of its requests is limited. */
    public boolean isLimited() {
        return ratePerSecond > 0;
    }
}
