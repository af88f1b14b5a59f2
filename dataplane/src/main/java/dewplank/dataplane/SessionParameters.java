package dewplank.dataplane;

/**
 * Parameters of a data plane's sessions with control planes. Only {@code contactFraction} refers to the settings.
 * Immutable.
 *
 * @param sessions number of sessions with different control planes that are open at once: the control plane of one may
 *     fail or lose its quorum without being detected for a while
 * @param maxExtraSessions maximum number of additional sessions while there is no configuration and open sessions
 *     report no quorum
 * @param heartbeatIntervalMs interval of heartbeats and of the checks of the sessions
 * @param heartbeatTimeoutMs time without any message after which a session is closed: three heartbeats
 * @param connectTimeoutMs timeout for establishing a session's connection
 * @param reconnectBackoffMs mean backoff of an address whose session was closed; jitter multiplies it by a factor from
 *     one half to one and a half
 * @param quorumTimeoutMs time without a quorum after which a session is closed if there is another address
 * @param noQuorumBackoffMs backoff of an address whose control plane lost its quorum
 * @param contactFraction fraction of the setting {@code contact_ms} for which a data plane without a configuration
 *     waits for a control plane with a quorum
 * @param maxPendingHeartbeats maximum number of heartbeats that a session stores: more than are sent within {@code
 *     heartbeatTimeoutMs}
 * @param maxDeferredUpdates a session with more deferred updates is closed and replaced by a new one
 */
record SessionParameters(
        int sessions,
        int maxExtraSessions,
        double heartbeatIntervalMs,
        double heartbeatTimeoutMs,
        double connectTimeoutMs,
        double reconnectBackoffMs,
        double quorumTimeoutMs,
        double noQuorumBackoffMs,
        double contactFraction,
        int maxPendingHeartbeats,
        int maxDeferredUpdates) {
    /** The parameters of all data planes. */
    static final SessionParameters DEFAULTS =
            new SessionParameters(2, 2, 300, 1_000, 600, 400, 1_500, 4_000, 0.5, 16, 64);
}
