package dewplank.dataplane;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * The addresses at which control planes may be found: the settings' seeds, which are retained, and those that control
 * planes vouch for, which are evicted when none has for long. Used by {@link SessionClient} alone; on its thread only.
 * Times in milliseconds of its clock; an address in use is one that a session is opened or open with.
 */
final class ControlAddresses {
    /** Addresses retained at once. Beyond, the one that nobody vouched for longest is evicted. */
    static final int MAX_ADDRESSES = 64;
    /** An address that no control plane has vouched for so long is evicted, seeds excepted. */
    static final double EXPIRY_MS = 60_000;

    private static final class Entry {
        private double refreshedAt;
        private double backoffUntil = Double.NEGATIVE_INFINITY;
    }

    private final Map<String, Entry> entries = new LinkedHashMap<>();
    private Set<String> seeds = Set.of();

    /** Sets the addresses that the settings name; they take the place of earlier ones. */
    void setSeeds(double now, Collection<String> newSeeds, Set<String> inUse) {
        seeds = Set.copyOf(newSeeds);
        refresh(now, newSeeds, inUse);
    }

    /** A control plane vouches for these addresses. */
    void refresh(double now, Collection<String> addresses, Set<String> inUse) {
        for (String address : addresses) {
            Entry entry = entries.get(address);
            if (entry == null && ensureCapacity(inUse)) {
                entry = new Entry();
                entries.put(address, entry);
            }
            if (entry != null) {
                entry.refreshedAt = now;
            }
        }
    }

    /** Evicts the address that nobody vouched for longest, where there are too many; false: none may be evicted. */
    private boolean ensureCapacity(Set<String> inUse) {
        if (entries.size() < MAX_ADDRESSES) {
            return true;
        }
        return entries.entrySet().stream()
                .filter(e -> isEvictable(e.getKey(), inUse))
                .min(Comparator.comparingDouble(e -> e.getValue().refreshedAt))
                .filter(e -> entries.remove(e.getKey()) != null)
                .isPresent();
    }

    private boolean isEvictable(String address, Set<String> inUse) {
        return !seeds.contains(address) && !inUse.contains(address);
    }

    /** Evicts the addresses that no peer has confirmed recently. */
    void evictExpired(double now, Set<String> inUse) {
        entries.entrySet().removeIf(e -> now - e.getValue().refreshedAt > EXPIRY_MS && isEvictable(e.getKey(), inUse));
    }

    /** Makes the address ineligible until then; an earlier time than before changes nothing. */
    void backOff(String address, double until) {
        Entry entry = entries.get(address);
        if (entry != null) {
            entry.backoffUntil = Math.max(entry.backoffUntil, until);
        }
    }

    /** The addresses that are neither in use nor backing off, in the order in which they came. */
    List<String> eligible(double now, Set<String> inUse) {
        List<String> eligible = new ArrayList<>();
        entries.forEach((address, entry) -> {
            if (!inUse.contains(address) && entry.backoffUntil <= now) {
                eligible.add(address);
            }
        });
        return eligible;
    }

    int size() {
        return entries.size();
    }
}
