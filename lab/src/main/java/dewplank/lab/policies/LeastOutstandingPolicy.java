package dewplank.lab.policies;

import dewplank.balancer.Settings;
import java.util.List;
import java.util.Optional;

/** Picks the server with the fewest requests in flight from this sidecar; ties are broken at random. */
final class LeastOutstandingPolicy extends TextbookPolicy {
    LeastOutstandingPolicy(Settings settings, long seed) {
        super(settings, seed);
    }

    @Override
    Optional<ServerState> pick(List<ServerState> candidates) {
        int offset = random().nextInt(candidates.size());
        ServerState best = candidates.get(offset);
        for (int i = 1; i < candidates.size(); i++) {
            ServerState server = candidates.get((i + offset) % candidates.size());
            best = server.outstanding < best.outstanding ? server : best;
        }
        return Optional.of(best);
    }
}
