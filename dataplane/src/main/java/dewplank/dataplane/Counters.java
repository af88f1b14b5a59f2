package dewplank.dataplane;

import java.util.EnumMap;
import java.util.Map;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Counters of a data plane since its start. They are logged in one line at regular intervals if any has changed. Not
 * thread-safe; must be used on the event loop's thread only.
 */
final class Counters {
    private static final Logger LOG = LoggerFactory.getLogger(Counters.class);

    /** The counters. Their names are read from the log; those that end in MS are sums in milliseconds. */
    enum Count {
        REQUESTS,
        SERVED,
        STREAMS_RESUMED,
        REFUSED,
        FAILED,
        /** The client disconnected before its request was completed. */
        LEFT,
        NO_ROUTE,
        /** The request has no access key, or one that belongs to no tenant. */
        UNKNOWN_KEY,
        /** The configuration was not confirmed to be recent enough to accept access keys. */
        ACCESS_UNCONFIRMED,
        /** The quota of the request's tenant was exhausted. */
        QUOTA_EXHAUSTED,
        /** No control plane could decide on the quota of the request's tenant. */
        QUOTA_UNAVAILABLE,
        NOT_READY,
        RETRIES,
        RETRIES_OVER_BUDGET,
        PREFILLS,
        PREFILL_FAILURES,
        /** Attempts at decode servers without a KV handle from a prefill server. */
        DIRECT,
        HANDOVER_FAILURES,
        CONNECT_FAILURES,
        TIMEOUTS,
        /** Attempts that failed after a part of the request was sent, and responses to clients that were aborted. */
        BROKEN,
        /** Attempts that a server rejected. */
        TURNED_AWAY,
        SERVER_ERRORS,
        /** KV handles released at their prefill servers. */
        FREED,
        /** There was no server, or none was eligible. */
        NO_SERVER,
        /** The route's {@code max_attempts} was reached. */
        ATTEMPTS_SPENT,
        /** Connections opened to servers. */
        CONNECTIONS,
        /** From a request's arrival until its prompt was prefilled and its KV cache stored at a prefill server. */
        PREFILL_MS,
        /** From then, or from the arrival if no prefill server was used, until the first event. */
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

    /** Logs all counters in one line if any has changed since the last call. */
    void log() {
        if (changed) {
            changed = false;
            LOG.info("counters {}", counts);
        }
    }
}
