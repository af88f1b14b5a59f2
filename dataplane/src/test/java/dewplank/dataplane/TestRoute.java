package dewplank.dataplane;

/** A route of a test's configuration. Immutable: each method returns a changed copy. */
record TestRoute(
        String name,
        String type,
        String service,
        int maxAttempts,
        int timeoutMs,
        int targetLatencyMs,
        int gapTargetMs,
        boolean resumable,
        boolean isPublic) {
    /**
     * Timeout of routes: longer than any wait of a test, and shorter than the remaining time that {@link
     * ClientRequests} state.
     */
    static final int DEFAULT_TIMEOUT_MS = 8_000;

    private static final int DEFAULT_TARGET_LATENCY_MS = 4_000;

    private static TestRoute of(String name, String type, String service, int maxAttempts) {
        return new TestRoute(
                name, type, service, maxAttempts, DEFAULT_TIMEOUT_MS, DEFAULT_TARGET_LATENCY_MS, 0, false, false);
    }

    /** A route to {@link TestConfiguration#PLAIN} whose requests may run more than once. */
    static TestRoute safeRoute(String name, int maxAttempts) {
        return of(name, "safe", TestConfiguration.PLAIN, maxAttempts);
    }

    /** A route to {@link TestConfiguration#PLAIN} whose requests may run only once. */
    static TestRoute unsafeRoute(String name, int maxAttempts) {
        return of(name, "unsafe", TestConfiguration.PLAIN, maxAttempts);
    }

    /** A route to {@link TestConfiguration#MODEL}. */
    static TestRoute streamingRoute(String name, int maxAttempts) {
        return of(name, "streaming", TestConfiguration.MODEL, maxAttempts);
    }

    TestRoute toService(String other) {
        return new TestRoute(
                name, type, other, maxAttempts, timeoutMs, targetLatencyMs, gapTargetMs, resumable, isPublic);
    }

    TestRoute withTimeout(int ms) {
        return new TestRoute(name, type, service, maxAttempts, ms, targetLatencyMs, gapTargetMs, resumable, isPublic);
    }

    /** A response is overdue after 2.5 times this target. */
    TestRoute withTargetLatency(int ms) {
        return new TestRoute(name, type, service, maxAttempts, timeoutMs, ms, gapTargetMs, resumable, isPublic);
    }

    /** Sets the target for the longest gap between two events. */
    TestRoute withGapTarget(int ms) {
        return new TestRoute(name, type, service, maxAttempts, timeoutMs, targetLatencyMs, ms, resumable, isPublic);
    }

    /** Allows a broken stream to be resumed after its last event. */
    TestRoute asResumable() {
        return new TestRoute(name, type, service, maxAttempts, timeoutMs, targetLatencyMs, gapTargetMs, true, isPublic);
    }

    /** Requests need no access key, even if there are tenants. */
    TestRoute asPublic() {
        return new TestRoute(
                name, type, service, maxAttempts, timeoutMs, targetLatencyMs, gapTargetMs, resumable, true);
    }

    String json() {
        return "{\"name\":\"" + name + "\",\"host_name\":\"" + ClientRequests.HOST + "\",\"path_prefix\":\"/" + name
                + "/\",\"route_type\":\"" + type + "\",\"timeout_ms\":" + timeoutMs + ",\"target_latency_ms\":"
                + targetLatencyMs + ",\"priority\":2,\"service\":\"" + service + "\",\"max_attempts\":" + maxAttempts
                + ",\"sticky\":false,\"resumable\":" + resumable + ",\"public\":" + isPublic + ",\"gap_aim_ms\":"
                + gapTargetMs + "}";
    }
}
