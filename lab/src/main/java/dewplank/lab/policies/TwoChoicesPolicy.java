package dewplank.lab.policies;

import dewplank.balancer.Outcome;
import dewplank.balancer.Settings;
import java.util.List;
import java.util.Optional;

/**
 * Picks the less loaded of two random servers (Mitzenmacher, "The power of two choices", 2001), with the outlier
 * ejection of common proxies: five consecutive failures eject a server for ten seconds times the number of its
 * ejections. Ejections are ignored while more than half of the candidates are ejected.
 */
final class TwoChoicesPolicy extends TextbookPolicy {
    private static final int EJECT_AFTER_FAILURES = 5;
    private static final double EJECTION_MS = 10_000;

    TwoChoicesPolicy(Settings settings, long seed) {
        super(settings, seed);
    }

    @Override
    Optional<ServerState> pick(List<ServerState> candidates) {
        List<ServerState> healthy = candidates.stream()
                .filter(server -> server.ejectedUntilMs <= nowMs())
                .toList();
        List<ServerState> pool = 2 * healthy.size() < candidates.size() ? candidates : healthy;
        ServerState first = pool.get(random().nextInt(pool.size()));
        ServerState second = pool.get(random().nextInt(pool.size()));
        return Optional.of(second.outstanding < first.outstanding ? second : first);
    }

    @Override
    void attemptEnded(ServerState server, Outcome outcome) {
        switch (outcome) {
            case SERVED -> server.consecutiveFailures = 0;
            case ERROR, TIMED_OUT, CONNECT_FAILED, RESET -> failed(server);
            default -> {}
        }
    }

    private void failed(ServerState server) {
        server.consecutiveFailures++;
        if (server.consecutiveFailures == EJECT_AFTER_FAILURES) {
            server.consecutiveFailures = 0;
            server.ejections++;
            server.ejectedUntilMs = nowMs() + EJECTION_MS * server.ejections;
        }
    }
}
