package dewplank.dataplane;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * The addresses of control planes: the seeds from the settings, which are retained, and those that control planes
 * report, which are evicted if no control plane has reported them for {@link #EXPIRY_MS}. Used by {@link SessionClient}
 * only, and must be called on its thread. Times are in milliseconds of its clock. An address is in use while a session
 * with it is open or being opened.
 */
final class ControlAddresses {
    /** Maximum number of addresses; beyond it, the least recently reported one is evicted. */
    static final int MAX_ADDRESSES = 64;
    /** An address that no control plane has reported for this time is evicted unless it is a seed or in use. */
    static final double EXPIRY_MS = 60_000;

    private static final class Entry {
        private double refreshedAt;
        private double backoffUntil = Double.NEGATIVE_INFINITY;
    }

    private final Map<String, Entry> entries = new LinkedHashMap<>();
    private Set<String> seeds = Set.of();

    /** Sets the seeds from the settings, which replace the earlier seeds. */
    void setSeeds(double now, Collection<String> newSeeds, Set<String> inUse) {
        seeds = Set.copyOf(newSeeds);
        refresh(now, newSeeds, inUse);
    }

    /** Records that a control plane reported these addresses. */
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

    /** Evicts the least recently reported address if the limit is reached; false if no address may be evicted. */
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

    /** Evicts the addresses that no control plane has reported recently. */
    void evictExpired(double now, Set<String> inUse) {
        entries.entrySet().removeIf(e -> now - e.getValue().refreshedAt > EXPIRY_MS && isEvictable(e.getKey(), inUse));
    }

    /** Makes the address ineligible until the given time; no effect if it is ineligible for longer already. */
    void backOff(String address, double until) {
        Entry entry = entries.get(address);
        if (entry != null) {
            entry.backoffUntil = Math.max(entry.backoffUntil, until);
        }
    }

    /** The addresses that are neither in use nor in backoff, in the order in which they were added. */
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
