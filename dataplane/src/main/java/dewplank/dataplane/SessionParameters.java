package dewplank.dataplane;

/**
 * The figures by which a data plane holds sessions with control planes. None but {@code contactFraction} follows from
 * the settings; what half and double of them give was not measured. Immutable.
 *
 * @param sessions open at once, with different control planes: one may fail or lose its quorum unnoticed for a while
 * @param maxExtraSessions beside those that report no quorum, while there is no configuration
 * @param heartbeatIntervalMs between heartbeats, and between looks at the sessions
 * @param heartbeatTimeoutMs without any message after which a session ends: three heartbeats
 * @param connectTimeoutMs for a session's connection to come up
 * @param redialBackoffMs the mean backoff of an address whose session ended; jitter takes it from half
 *     to one and a half
 * @param quorumTimeoutMs without a quorum after which a session ends, if there is another address
 * @param noQuorumBackoffMs of an address that lost its quorum
 * @param contactFraction of the settings' {@code contact_ms}, for which a data plane without a configuration waits for
 *     a control plane with a quorum
 * @param maxPendingHeartbeats remembered by a session: more than are sent within {@code heartbeatTimeoutMs}
 * @param maxDeferredUpdates a session that sends more is ended and begins anew
 */
record SessionParameters(
        int sessions,
        int maxExtraSessions,
        double heartbeatIntervalMs,
        double heartbeatTimeoutMs,
        double connectTimeoutMs,
        double redialBackoffMs,
        double quorumTimeoutMs,
        double noQuorumBackoffMs,
        double contactFraction,
        int maxPendingHeartbeats,
        int maxDeferredUpdates) {
    /** The figures that all data planes use. */
    static final SessionParameters DEFAULTS =
            new SessionParameters(2, 2, 300, 1_000, 600, 400, 1_500, 4_000, 0.5, 16, 64);
}
