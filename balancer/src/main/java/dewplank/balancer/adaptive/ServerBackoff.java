package dewplank.balancer.adaptive;

import java.util.random.RandomGenerator;

/**
 * Keeps a server that rejected work, or let no connection in, out of the draw for a while: exponential
 * backoff with jitter, up to seconds, since a server that only rejects is no server.
 */
final class ServerBackoff {
    static final double AFTER_REJECTION_MS = 40;
    static final double AFTER_CONNECT_FAILURE_MS = 250;
    private static final double MULTIPLIER = 4;
    private static final double MAX_BACKOFF_MS = 4_000;

    private final Step step;
    private final RandomGenerator random;

    ServerBackoff(Step step, RandomGenerator random) {
        this.step = step;
        this.random = random;
    }

    /** Answers to what was sent before a backoff began say no more than the one that began it. */
    void begin(Attempt attempt, double minMs) {
        ServerState server = attempt.server;
        if (attempt.sentAtMs >= server.backoffFromMs) {
            server.backoffFromMs = step.nowMs();
            server.nextBackoffMs = Math.max(server.nextBackoffMs, minMs);
            server.backoffUntilMs = step.nowMs() + server.nextBackoffMs * (0.5 + random.nextDouble());
            server.nextBackoffMs = Math.min(server.nextBackoffMs * MULTIPLIER, MAX_BACKOFF_MS);
        }
    }

    boolean isOver(ServerState server) {
        return step.nowMs() >= server.backoffUntilMs;
    }
}
