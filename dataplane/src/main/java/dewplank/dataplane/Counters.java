package dewplank.dataplane;

import java.util.EnumMap;
import java.util.Map;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Counters of a data plane, written to the log in one line from time to time where any has changed. */
final class Counters {
    private static final Logger LOG = LoggerFactory.getLogger(Counters.class);

    enum Count {
        REQUESTS,
        SERVED,
        STREAMS_RESUMED,
        REFUSED,
        FAILED,
        LEFT,
        NO_ROUTE,
        NOT_READY,
        RETRIES,
        RETRIES_OVER_BUDGET,
        PREFILLS,
        PREFILL_FAILURES,
        DIRECT,
        HANDOVER_FAILURES,
        CONNECT_FAILURES,
        TIMEOUTS,
        BROKEN,
        TURNED_AWAY,
        SERVER_ERRORS,
        FREED
    }

    private final Map<Count, Long> counts = new EnumMap<>(Count.class);
    private boolean changed;

    void add(Count count) {
        counts.merge(count, 1L, Long::sum);
        changed = true;
    }

    long of(Count count) {
        return counts.getOrDefault(count, 0L);
    }

    void log() {
        if (changed) {
            changed = false;
            LOG.info("counters {}", counts);
        }
    }
}
