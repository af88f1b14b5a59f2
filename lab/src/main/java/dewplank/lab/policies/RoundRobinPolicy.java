package dewplank.lab.policies;

import dewplank.balancer.Settings;
import java.util.List;
import java.util.Optional;

/** One server after the other, beginning anywhere. */
final class RoundRobinPolicy extends TextbookPolicy {
    private static final int MAX_BEGINNING = 1 << 20;

    private int next;

    RoundRobinPolicy(Settings settings, long seed) {
        super(settings, seed);
        next = random().nextInt(MAX_BEGINNING);
    }

    @Override
    Optional<ServerState> pick(List<ServerState> candidates) {
        return Optional.of(candidates.get(next++ % candidates.size()));
    }
}
