package dewplank.lab.policies;

import dewplank.balancer.Settings;
import java.util.List;
import java.util.Optional;

/** The server with the fewest of this sidecar's own requests in flight; of several, any. */
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
