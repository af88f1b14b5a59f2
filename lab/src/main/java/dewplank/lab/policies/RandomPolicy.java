package dewplank.lab.policies;

import dewplank.balancer.Settings;
import java.util.List;
import java.util.Optional;

/** Picks a server at random with equal probabilities. */
final class RandomPolicy extends TextbookPolicy {
    RandomPolicy(Settings settings, long seed) {
        super(settings, seed);
    }

    @Override
    Optional<ServerState> pick(List<ServerState> candidates) {
        return Optional.of(candidates.get(random().nextInt(candidates.size())));
    }
}
