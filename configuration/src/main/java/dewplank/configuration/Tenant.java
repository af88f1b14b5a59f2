package dewplank.configuration;

import java.util.List;
import java.util.OptionalInt;

/**
 * A tenant of a configuration. Immutable.
 *
 * @param name its name, unique among tenants
 * @param keys the digests of its access keys; none where all were taken away
 * @param priority its rank, 0 being the highest, which goes before its requests' routes' ranks; empty where it has none
 * @param ratePerSecond requests that the fleet admits in a second; 0 where they are not limited
 * @param burst requests that the fleet admits beyond the rate
 */
public record Tenant(
        String name, List<AccessKeyDigest> keys, OptionalInt priority, double ratePerSecond, double burst) {
    /** Takes a copy of the keys. */
    public Tenant {
        keys = List.copyOf(keys);
    }

    /** Whether its requests are limited. */
    public boolean isLimited() {
        return ratePerSecond > 0;
    }
}
