package dewplank.lab.policies;

import dewplank.balancer.Settings;
import java.util.List;
import java.util.Optional;

/** Picks the servers in turn, starting at a random one. */
final class RoundRobinPolicy extends TextbookPolicy {
    private static final int MAX_FIRST_INDEX = 1 << 20;

    private int nextIndex;

    RoundRobinPolicy(Settings settings, long seed) {
        super(settings, seed);
        nextIndex = random().nextInt(MAX_FIRST_INDEX);
    }

    @Override
    Optional<ServerState> pick(List<ServerState> candidates) {
        return Optional.of(candidates.get(nextIndex++ % candidates.size()));
    }
}
