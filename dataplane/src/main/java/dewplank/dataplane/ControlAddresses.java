package dewplank.dataplane;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Addresses of control sidecars: the settings' seeds, which are kept, and those that control sidecars vouch for, which
 * are forgotten when none has for long. Times in milliseconds. An address in use is one that a session stands with.
 */
final class ControlAddresses {
    /** Addresses known at once. Beyond, the one that nobody vouched for longest makes room. */
    static final int MOST = 64;
    /** An address that no control sidecar has vouched for so long is forgotten, seeds excepted. */
    static final double FORGET_MS = 60_000;

    private static final class Known {
        private double toldAt;
        private double notBefore = Double.NEGATIVE_INFINITY;
    }

    private final Map<String, Known> known = new LinkedHashMap<>();
    private Set<String> seeds = Set.of();

    /** The settings name these. */
    void seeds(double now, Collection<String> newer, Set<String> inUse) {
        seeds = Set.copyOf(newer);
        told(now, newer, inUse);
    }

    /** A control sidecar vouches for these. */
    void told(double now, Collection<String> addresses, Set<String> inUse) {
        for (String address : addresses) {
            Known entry = known.get(address);
            if (entry == null && hasRoom(inUse)) {
                entry = new Known();
                known.put(address, entry);
            }
            if (entry != null) {
                entry.toldAt = now;
            }
        }
    }

    /** Whether one more fits, after the one that nobody vouched for longest was forgotten where need be. */
    private boolean hasRoom(Set<String> inUse) {
        if (known.size() < MOST) {
            return true;
        }
        return known.entrySet().stream()
                .filter(e -> mayBeForgotten(e.getKey(), inUse))
                .min(Comparator.comparingDouble(e -> e.getValue().toldAt))
                .filter(e -> known.remove(e.getKey()) != null)
                .isPresent();
    }

    private boolean mayBeForgotten(String address, Set<String> inUse) {
        return !seeds.contains(address) && !inUse.contains(address);
    }

    /** Drops what nobody has vouched for lately. */
    void forget(double now, Set<String> inUse) {
        known.entrySet().removeIf(e -> now - e.getValue().toldAt > FORGET_MS && mayBeForgotten(e.getKey(), inUse));
    }

    /** The address is let be until then. */
    void rest(String address, double until) {
        Known entry = known.get(address);
        if (entry != null) {
            entry.notBefore = Math.max(entry.notBefore, until);
        }
    }

    /** Those that are neither in use nor let be. */
    List<String> candidates(double now, Set<String> inUse) {
        List<String> free = new ArrayList<>();
        known.forEach((address, entry) -> {
            if (!inUse.contains(address) && entry.notBefore <= now) {
                free.add(address);
            }
        });
        return free;
    }

    int size() {
        return known.size();
    }
}
