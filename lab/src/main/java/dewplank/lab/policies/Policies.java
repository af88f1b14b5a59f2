package dewplank.lab.policies;

import dewplank.balancer.adaptive.AdaptiveBalancer;
import dewplank.emulator.virtualtime.VirtualRun.Policy;
import dewplank.settings.InvalidInputException;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;

/** The policies that trials can be played with, by the names that commands and experiment files take. */
public final class Policies {
    private static final Map<String, Policy> BY_NAME = byName();

    private Policies() {}

    private static Map<String, Policy> byName() {
        Map<String, Policy> policies = new LinkedHashMap<>(); // in the order in which they are listed
        policies.put(
                "choice",
                (settings, seed, world, sidecar) -> new AdaptiveBalancer(settings, new SplittableRandom(seed)));
        policies.put("random", (settings, seed, world, sidecar) -> new RandomPolicy(settings, seed));
        policies.put("round-robin", (settings, seed, world, sidecar) -> new RoundRobinPolicy(settings, seed));
        policies.put(
                "least-outstanding", (settings, seed, world, sidecar) -> new LeastOutstandingPolicy(settings, seed));
        policies.put("two-choices", (settings, seed, world, sidecar) -> new TwoChoicesPolicy(settings, seed));
        policies.put("oracle", (settings, seed, world, sidecar) -> new OraclePolicy(settings, seed, world));
        return policies;
    }

    /** All names. */
    public static List<String> names() {
        return List.copyOf(BY_NAME.keySet());
    }

    /**
     * The policy of that name.
     *
     * @throws InvalidInputException if there is none
     */
    public static Policy named(String name) {
        Policy policy = BY_NAME.get(name);
        if (policy == null) {
            throw new InvalidInputException(
                    "there is no policy " + name + "; known: " + String.join(", ", BY_NAME.keySet()));
        }
        return policy;
    }
}
