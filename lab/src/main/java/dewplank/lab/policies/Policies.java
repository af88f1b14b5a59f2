package dewplank.lab.policies;

import dewplank.balancer.adaptive.AdaptiveBalancer;
import dewplank.emulator.virtualtime.VirtualRun.Policy;
import dewplank.settings.InvalidInputException;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;

/** The policies available for simulation runs, by the names that commands and experiment files accept. */
public final class Policies {
    private static final Map<String, Policy> BY_NAME = byName();

    private Policies() {}

    private static Map<String, Policy> byName() {
        Map<String, Policy> policies = new LinkedHashMap<>(); // listed in this order
        policies.put(
                "choice",
                (settings, seed, environment, sidecar) -> new AdaptiveBalancer(settings, new SplittableRandom(seed)));
        policies.put("random", (settings, seed, environment, sidecar) -> new RandomPolicy(settings, seed));
        policies.put("round-robin", (settings, seed, environment, sidecar) -> new RoundRobinPolicy(settings, seed));
        policies.put(
                "least-outstanding",
                (settings, seed, environment, sidecar) -> new LeastOutstandingPolicy(settings, seed));
        policies.put("two-choices", (settings, seed, environment, sidecar) -> new TwoChoicesPolicy(settings, seed));
        policies.put("oracle", (settings, seed, environment, sidecar) -> new OraclePolicy(settings, seed, environment));
        return policies;
    }

    /** The names of all policies. */
    public static List<String> names() {
        return List.copyOf(BY_NAME.keySet());
    }

    /**
     * Returns the policy with this name.
     *
     * @throws InvalidInputException if there is no such policy
     */
    public static Policy named(String name) {
        Policy policy = BY_NAME.get(name);
        if (policy == null) {
            throw new InvalidInputException(
                    "unknown policy " + name + "; available: " + String.join(", ", BY_NAME.keySet()));
        }
        return policy;
    }
}
