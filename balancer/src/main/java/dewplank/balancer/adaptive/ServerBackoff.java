package dewplank.balancer.adaptive;

import java.util.random.RandomGenerator;

/**
 * Excludes a server that rejected an attempt or refused a connection from draws for a time: exponential
 * backoff with jitter, up to several seconds, because sending to a server that rejects everything is useless.
 */
final class ServerBackoff {
    /** Minimum backoff after a rejection, before jitter. */
    static final double AFTER_REJECTION_MS = 40;

    /** Minimum backoff after a connection failure, before jitter. */
    static final double AFTER_CONNECT_FAILURE_MS = 250;

    private static final double MULTIPLIER = 4;
    private static final double MAX_BACKOFF_MS = 4_000;

    private final Step step;
    private final RandomGenerator random;

    ServerBackoff(Step step, RandomGenerator random) {
        this.step = step;
        this.random = random;
    }

    /**
     * Starts a backoff. Outcomes of attempts sent before the current backoff began are ignored, because
     * they give no new information.
     */
    void begin(Attempt attempt, double minMs) {
        ServerState server = attempt.server;
        if (attempt.sentAtMs >= server.backoffStartedAtMs) {
            server.backoffStartedAtMs = step.nowMs();
            server.nextBackoffMs = Math.max(server.nextBackoffMs, minMs);
            server.backoffUntilMs = step.nowMs() + server.nextBackoffMs * (0.5 + random.nextDouble());
            server.nextBackoffMs = Math.min(server.nextBackoffMs * MULTIPLIER, MAX_BACKOFF_MS);
        }
    }

    boolean hasEnded(ServerState server) {
        return step.nowMs() >= server.backoffUntilMs;
    }
}
