package dewplank.dataplane;

import java.util.EnumMap;
import java.util.Map;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Counters of a data plane since its start, written to the log in one line from time to time where any has changed. On
 * the event loop's thread only.
 */
final class Counters {
    private static final Logger LOG = LoggerFactory.getLogger(Counters.class);

    /** What is counted. The names are read from the log; those ending in MS are sums of milliseconds. */
    enum Count {
        REQUESTS,
        SERVED,
        STREAMS_RESUMED,
        REFUSED,
        FAILED,
        LEFT,
        NO_ROUTE,
        /** No tenant holds the request's access key. */
        UNKNOWN_KEY,
        /** The configuration was not known to be recent enough to serve keys by. */
        ACCESS_UNCONFIRMED,
        /** The tenant had used up its quota. */
        QUOTA_EXHAUSTED,
        /** No control plane could tell whether the tenant had. */
        QUOTA_UNAVAILABLE,
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
        FREED,
        /** No server was there, or none was eligible. */
        NO_SERVER,
        /** The route's {@code max_attempts} was reached. */
        ATTEMPTS_SPENT,
        /** Connections opened to servers. */
        CONNECTIONS,
        /** From the request's arrival until its prompt was prefilled and its KV cache stored at a prefill server. */
        PREFILL_MS,
        /** From there, or from the arrival where no prefill server did it, until the first event. */
        DECODE_MS
    }

    private final Map<Count, Long> counts = new EnumMap<>(Count.class);
    private boolean changed;

    void add(Count count) {
        add(count, 1);
    }

    void add(Count count, long amount) {
        counts.merge(count, amount, Long::sum);
        changed = true;
    }

    long of(Count count) {
        return counts.getOrDefault(count, 0L);
    }

    /** Writes all counters in one line, if any has changed since the last one. */
    void log() {
        if (changed) {
            changed = false;
            LOG.info("counters {}", counts);
        }
    }
}
