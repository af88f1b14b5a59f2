package dewplank.balancer.adaptive;

import dewplank.balancer.Settings;
import dewplank.balancer.Settings.DeduplicationScope;
import dewplank.balancer.Settings.Idempotency;
import dewplank.balancer.Settings.RequestClass;
import dewplank.balancer.Settings.Tenant;

/** The settings and loads for which decisions are recorded; a {@link WorkloadSimulation} runs one of them. */
enum RecordedWorkload {
    DEFAULT(baseSettings().classes(read(0.5), act(Idempotency.KEYED, DeduplicationScope.ZONE), pay(), stream())),

    /** The endpoint list is polled, a connection carries one request, and removed servers may still be used. */
    POLLED(baseSettings()
            .endpointListIsPushed(false)
            .serversAreRated(true)
            .maxStreamsPerConnection(1)
            .allowsRemovedServers(true)),

    HEDGING(baseSettings()
            .classes(read(0), act(Idempotency.KEYED, DeduplicationScope.ALL), pay(), stream())
            .allowsHedging(true)
            .allowsCancellation(false)
            .serversCacheKeys(true)
            .rejectedMayHaveRun(true)
            .prices(0, 0.02)),

    /** Few attempts, without hedging, cancellation, retry advice or slow start. */
    MINIMAL(baseSettings()
            .maxAttempts(2)
            .allowsCancellation(false)
            .allowsHealthChecks(true)
            .allowsRetryAdvice(false)
            .slowStartMs(0)
            .tail(0.4, 0.01)),

    OVERLOADED(
            baseSettings()
                    .classes(read(0), act(Idempotency.UNSAFE, DeduplicationScope.ZONE), pay(), stream())
                    .serversAreRated(true)
                    .tail(0.4, 0.01),
            4,
            4),

    TENANTS(baseSettings().valueIsPerWork(true).serversCacheKeys(true).tenants(agreedTenants())),

    /** Replicas exchange summaries of the servers that they find unhealthy. */
    PEERS(baseSettings()
            .classes(read(0), act(Idempotency.KEYED, DeduplicationScope.CELL), pay(), stream())
            .allowsHealthChecks(true)
            .exchangesPeerSummaries(true)
            .tenants(agreedTenants())),

    /** Many replicas and servers, with little traffic per replica. */
    LARGE(
            baseSettings()
                    .replica(1, 200)
                    .valueIsPerWork(true)
                    .allowsHedging(true)
                    .allowsCancellation(false)
                    .exchangesPeerSummaries(true)
                    .idleTimeoutMs(2_000)
                    .maxStreamsPerConnection(3)
                    .rejectedMayHaveRun(true),
            80,
            40);

    /** The mean work of a request at an idle server, before the factor of its class. */
    static final double WORK_MS = 15;

    private static final int DEFAULT_SERVERS = 9;
    private static final double DEFAULT_REQUEST_INTERVAL_MS = 8;

    private final Settings settings;
    private final int servers;
    private final double requestIntervalMs;

    RecordedWorkload(SettingsBuilder settings) {
        this(settings, DEFAULT_SERVERS, DEFAULT_REQUEST_INTERVAL_MS);
    }

    RecordedWorkload(SettingsBuilder settings, int servers, double requestIntervalMs) {
        this.settings = settings.build();
        this.servers = servers;
        this.requestIntervalMs = requestIntervalMs;
    }

    Settings settings() {
        return settings;
    }

    int servers() {
        return servers;
    }

    /** The mean time between two requests outside of peaks. */
    double requestIntervalMs() {
        return requestIntervalMs;
    }

    private static SettingsBuilder baseSettings() {
        return SettingsBuilder.settings()
                .replica(1, 4)
                .classes(read(0), act(Idempotency.KEYED, DeduplicationScope.ZONE), pay(), stream())
                .prices(0.05, 0.02)
                .tail(0, 0.01);
    }

    private static RequestClass read(double latencyTargetPerWork) {
        return new RequestClass(
                "read", Idempotency.SAFE, DeduplicationScope.ALL, 0, 300, latencyTargetPerWork, 600, 1, 0.2, false);
    }

    private static RequestClass act(Idempotency idempotency, DeduplicationScope scope) {
        return new RequestClass("act", idempotency, scope, 400, 400, 0, 700, 5, 0, false);
    }

    private static RequestClass pay() {
        return new RequestClass("pay", Idempotency.UNSAFE, DeduplicationScope.ALL, 0, 500, 0, 1_500, 9, 0, false);
    }

    private static RequestClass stream() {
        return new RequestClass("flow", Idempotency.SAFE, DeduplicationScope.ALL, 0, 200, 0, 2_000, 2, 0.5, true);
    }

    private static Tenant[] agreedTenants() {
        return new Tenant[] {new Tenant("a", 0.5, 40), new Tenant("b", 0.3, 20), new Tenant("c", 0.2, 0)};
    }
}
