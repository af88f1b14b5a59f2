package dewplank.emulator;

import dewplank.emulator.scenario.KeyModel;
import java.util.LinkedHashMap;
import java.util.Map;

/** The keys that a server's process has cached; the least recently used ones are evicted. */
final class KeyCache {
    private final KeyModel rules;
    private final LinkedHashMap<Integer, Double> usedAtMs;

    KeyCache(KeyModel rules, int cores) {
        this.rules = rules;
        int maxKeys = (int) Math.max(1, cores * rules.maxKeysPerCore());
        this.usedAtMs = new LinkedHashMap<>(16, 0.75f, true) {
            private static final long serialVersionUID = 1L;

            @Override
            protected boolean removeEldestEntry(Map.Entry<Integer, Double> eldest) {
                return size() > maxKeys;
            }
        };
    }

    /** Looks up a key and caches it; returns the fraction of the request's work that its cache entry saves. */
    double use(int key, double nowMs) {
        if (key < 0) {
            return 0;
        }
        Double lastUsedAtMs = usedAtMs.get(key);
        usedAtMs.put(key, nowMs);
        return lastUsedAtMs != null && nowMs - lastUsedAtMs <= rules.cacheMs() ? rules.savedWorkFraction() : 0;
    }

    void clear() {
        usedAtMs.clear();
    }
}
