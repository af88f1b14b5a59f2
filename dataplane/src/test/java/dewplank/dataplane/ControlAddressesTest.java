package dewplank.dataplane;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;

/** Retention, eviction and eligibility of control planes' addresses. */
class ControlAddressesTest {
    private final ControlAddresses addresses = new ControlAddresses();

    @Test
    void expiredAddressesAreEvictedExceptSeedsAndThoseInUse() {
        addresses.setSeeds(0, List.of("seed:1"), Set.of());
        addresses.refresh(0, List.of("dead:1", "used:1", "live:1"), Set.of());
        double later = ControlAddresses.EXPIRY_MS;
        addresses.evictExpired(later, Set.of("used:1"));
        assertEquals(4, addresses.size());
        addresses.refresh(later, List.of("live:1"), Set.of("used:1"));
        addresses.evictExpired(later + 1, Set.of("used:1"));
        assertEquals(List.of("seed:1", "used:1", "live:1"), addresses.eligible(later + 1, Set.of()));
    }

    @Test
    void theLeastRecentlyRefreshedAddressIsEvicted() {
        addresses.setSeeds(0, List.of("seed:1"), Set.of());
        for (int number = 1; number < ControlAddresses.MAX_ADDRESSES; number++) {
            addresses.refresh(number, List.of("a:" + number), Set.of());
        }
        addresses.refresh(100, List.of("b:1"), Set.of("a:1"));
        List<String> eligible = addresses.eligible(100, Set.of());
        assertEquals(ControlAddresses.MAX_ADDRESSES, eligible.size());
        assertTrue(eligible.containsAll(List.of("seed:1", "a:1", "b:1")));
        assertFalse(eligible.contains("a:2"));
    }

    @Test
    void anAddressInBackoffIsNotEligible() {
        addresses.refresh(0, List.of("a:1", "b:1"), Set.of());
        addresses.backOff("a:1", 50);
        addresses.backOff("a:1", 20);
        assertEquals(List.of("b:1"), addresses.eligible(49, Set.of()));
        assertEquals(List.of("a:1"), addresses.eligible(50, Set.of("b:1")));
    }
}
