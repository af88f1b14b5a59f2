package dewplank.emulator;

import dewplank.emulator.scenario.Scenario;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * The deduplication state that the servers of a scope share. Each attempt of a client starts a new deduplication
 * window, since clients retry a keyed request only while servers still deduplicate it.
 */
final class KeyedRequests {
    /** Added to a deduplication window for the network delay, because the window starts when the client sends. */
    private static final double WINDOW_SLACK_MS = 10;
    /** Time for which an entry is stored; longer than any request is in flight at a server. */
    private static final double ENTRY_LIFETIME_MS = 60_000;

    private static final int MAX_ENTRIES = 1_000_000;
    /** Factor of the request key in a scoped key; greater than the number of any group of servers. */
    private static final int GROUP_FACTOR = 10_007;

    private static final class Entry {
        long attempt;
        double firstReceivedAtMs;
        boolean hadEffect;

        Entry(double firstReceivedAtMs) {
            this.firstReceivedAtMs = firstReceivedAtMs;
        }
    }

    private final Scenario scenario;
    private final Scheduler time;
    private final Map<Long, Entry> entries = new LinkedHashMap<>() {
        private static final long serialVersionUID = 1L;

        @Override
        protected boolean removeEldestEntry(Map.Entry<Long, Entry> eldest) {
            return size() > MAX_ENTRIES || eldest.getValue().firstReceivedAtMs < time.now() - ENTRY_LIFETIME_MS;
        }
    };

    KeyedRequests(Scenario scenario, Scheduler time) {
        this.scenario = scenario;
        this.time = time;
    }

    /** Registers a keyed request that a server received; returns whether its effect will be deduplicated. */
    boolean isWithinWindow(ClientAttempt request, Server server) {
        double windowMs = scenario.classes().get(request.requestClass()).deduplicationWindowMs() + WINDOW_SLACK_MS;
        Entry entry = entries.computeIfAbsent(scopedKey(request, server), any -> new Entry(time.now()));
        if (entry.attempt != request.id()) {
            entry.attempt = request.id();
            entry.firstReceivedAtMs = time.now();
        }
        return time.now() - entry.firstReceivedAtMs <= windowMs;
    }

    /** Registers that a keyed request takes effect; returns whether no request with its key has done so before. */
    boolean isFirstEffect(ClientAttempt request, Server server) {
        Entry entry = entries.get(scopedKey(request, server));
        boolean isFirst = entry == null || !entry.hadEffect;
        if (entry != null) {
            entry.hadEffect = true;
        }
        return isFirst;
    }

    private long scopedKey(ClientAttempt request, Server server) {
        long group =
                switch (scenario.classes().get(request.requestClass()).deduplicationScope()) {
                    case ALL -> 0;
                    case ZONE -> 1 + scenario.zones().indexOf(server.zone());
                    case CELL -> 1 + server.cell();
                };
        return request.key() * GROUP_FACTOR + group;
    }
}
