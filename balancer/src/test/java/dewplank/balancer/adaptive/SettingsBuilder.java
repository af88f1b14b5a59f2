package dewplank.balancer.adaptive;

import dewplank.balancer.Settings;
import dewplank.balancer.Settings.DeduplicationScope;
import dewplank.balancer.Settings.Goal;
import dewplank.balancer.Settings.Idempotency;
import dewplank.balancer.Settings.Limits;
import dewplank.balancer.Settings.Prices;
import dewplank.balancer.Settings.RequestClass;
import dewplank.balancer.Settings.Safety;
import dewplank.balancer.Settings.Tenant;
import java.util.List;

/**
 * Builds the settings of a balancer under test.
 *
 * <p>The defaults are four replicas in zone {@code z1}, a pushed endpoint list, cancellation but no hedging, and two
 * classes: {@code read} (safe) and {@code act} (safe by default, with five times the value).
 */
final class SettingsBuilder {
    static final double LATENCY_TARGET_MS = 300;
    static final double DEADLINE_MS = 600;
    static final double DEDUPLICATION_WINDOW_MS = 400;
    static final double MAX_RETRY_ADVICE_MS = 300;

    private static final double TICK_MS = 1;
    private static final double OVER_SHARE_VALUE_FACTOR = 0.1;
    private static final double CONNECT_TIMEOUT_MS = 100;
    private static final double MAX_SUBSCRIBE_DELAY_MS = 10_000;
    private static final double SLOW_START_INITIAL_SHARE = 0.3;
    private static final double SLOW_START_OVERLOAD_FACTOR = 3;
    private static final double SLOW_START_OVERLOAD_MS = 1_000;

    private int replicaIndex;
    private int replicaCount = 4;
    private boolean endpointListIsPushed = true;
    private boolean valueIsPerWork;
    private boolean serversAreRated;
    private boolean serversCacheKeys;
    private List<RequestClass> classes;
    private boolean readsAreStreams;
    private Idempotency actIdempotency = Idempotency.SAFE;
    private DeduplicationScope actDeduplicationScope = DeduplicationScope.ALL;
    private List<Tenant> tenants = List.of();
    private int maxAttempts = 4;
    private boolean allowsHedging;
    private boolean allowsCancellation = true;
    private boolean allowsHealthChecks;
    private boolean exchangesPeerSummaries;
    private boolean allowsRetryAdvice = true;
    private double idleTimeoutMs = 15_000;
    private int maxStreamsPerConnection = 100;
    private double slowStartMs = 10_000;
    private boolean allowsRemovedServers;
    private boolean rejectedMayHaveRun;
    private double crossZonePrice;
    private double handshakePrice;
    private double tailWeight;
    private double allowedMissShare;

    private SettingsBuilder() {}

    static SettingsBuilder settings() {
        return new SettingsBuilder();
    }

    SettingsBuilder replica(int index, int count) {
        replicaIndex = index;
        replicaCount = count;
        return this;
    }

    SettingsBuilder endpointListIsPushed(boolean isPushed) {
        endpointListIsPushed = isPushed;
        return this;
    }

    SettingsBuilder valueIsPerWork(boolean isPerWork) {
        valueIsPerWork = isPerWork;
        return this;
    }

    SettingsBuilder serversAreRated(boolean areRated) {
        serversAreRated = areRated;
        return this;
    }

    SettingsBuilder serversCacheKeys(boolean cacheKeys) {
        serversCacheKeys = cacheKeys;
        return this;
    }

    /** Replaces the classes {@code read} and {@code act}. */
    SettingsBuilder classes(RequestClass... replacements) {
        classes = List.of(replacements);
        return this;
    }

    SettingsBuilder readsAreStreams(boolean areStreams) {
        readsAreStreams = areStreams;
        return this;
    }

    SettingsBuilder actIdempotency(Idempotency idempotency) {
        actIdempotency = idempotency;
        return this;
    }

    SettingsBuilder actDeduplicationScope(DeduplicationScope scope) {
        actDeduplicationScope = scope;
        return this;
    }

    SettingsBuilder tenants(Tenant... agreed) {
        tenants = List.of(agreed);
        return this;
    }

    SettingsBuilder maxAttempts(int attempts) {
        maxAttempts = attempts;
        return this;
    }

    SettingsBuilder allowsHedging(boolean allowed) {
        allowsHedging = allowed;
        return this;
    }

    SettingsBuilder allowsCancellation(boolean allowed) {
        allowsCancellation = allowed;
        return this;
    }

    SettingsBuilder allowsHealthChecks(boolean allowed) {
        allowsHealthChecks = allowed;
        return this;
    }

    SettingsBuilder exchangesPeerSummaries(boolean exchanges) {
        exchangesPeerSummaries = exchanges;
        return this;
    }

    SettingsBuilder allowsRetryAdvice(boolean allowed) {
        allowsRetryAdvice = allowed;
        return this;
    }

    SettingsBuilder idleTimeoutMs(double timeoutMs) {
        idleTimeoutMs = timeoutMs;
        return this;
    }

    SettingsBuilder maxStreamsPerConnection(int streams) {
        maxStreamsPerConnection = streams;
        return this;
    }

    SettingsBuilder slowStartMs(double durationMs) {
        slowStartMs = durationMs;
        return this;
    }

    SettingsBuilder allowsRemovedServers(boolean isBinding) {
        allowsRemovedServers = isBinding;
        return this;
    }

    SettingsBuilder rejectedMayHaveRun(boolean mayHaveRun) {
        rejectedMayHaveRun = mayHaveRun;
        return this;
    }

    SettingsBuilder prices(double crossZone, double handshake) {
        crossZonePrice = crossZone;
        handshakePrice = handshake;
        return this;
    }

    SettingsBuilder tail(double weight, double missShare) {
        tailWeight = weight;
        allowedMissShare = missShare;
        return this;
    }

    Settings build() {
        return new Settings(
                replicaIndex,
                replicaCount,
                "z1",
                TICK_MS,
                endpointListIsPushed,
                valueIsPerWork,
                serversAreRated,
                serversCacheKeys,
                OVER_SHARE_VALUE_FACTOR,
                List.of("busy"),
                false,
                classes == null ? List.of(readClass(), actClass()) : classes,
                tenants,
                limits(),
                safety(),
                new Prices(crossZonePrice, handshakePrice),
                new Goal(0.9, 0.1, tailWeight, allowedMissShare));
    }

    private RequestClass readClass() {
        return new RequestClass(
                "read",
                Idempotency.SAFE,
                DeduplicationScope.ALL,
                0,
                LATENCY_TARGET_MS,
                0,
                DEADLINE_MS,
                1,
                0,
                readsAreStreams);
    }

    private RequestClass actClass() {
        return new RequestClass(
                "act",
                actIdempotency,
                actDeduplicationScope,
                DEDUPLICATION_WINDOW_MS,
                LATENCY_TARGET_MS,
                0,
                DEADLINE_MS,
                5,
                0,
                false);
    }

    private Limits limits() {
        return new Limits(
                maxAttempts,
                allowsHedging,
                allowsCancellation,
                allowsHealthChecks,
                exchangesPeerSummaries,
                allowsRetryAdvice,
                MAX_RETRY_ADVICE_MS,
                CONNECT_TIMEOUT_MS,
                idleTimeoutMs,
                maxStreamsPerConnection);
    }

    private Safety safety() {
        return new Safety(
                MAX_SUBSCRIBE_DELAY_MS,
                slowStartMs,
                SLOW_START_INITIAL_SHARE,
                SLOW_START_OVERLOAD_FACTOR,
                SLOW_START_OVERLOAD_MS,
                allowsRemovedServers,
                rejectedMayHaveRun);
    }
}
