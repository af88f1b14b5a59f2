package dewplank.lab.policies;

import dewplank.balancer.Outcome;
import dewplank.balancer.Settings;
import dewplank.balancer.Settings.RequestClass;
import dewplank.balancer.adaptive.AdaptiveBalancer;
import dewplank.emulator.Server;
import dewplank.emulator.World;
import dewplank.emulator.virtualtime.VirtualRun.Policy;
import dewplank.settings.InvalidInputException;
import java.util.ArrayDeque;
import java.util.Collections;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.WeakHashMap;

/** The policies by name. */
public final class Policies {
    private static final Map<String, Policy> BY_NAME = new LinkedHashMap<>();

    static {
        BY_NAME.put(
                "choice",
                (settings, seed, world, sidecar) -> new AdaptiveBalancer(settings, new SplittableRandom(seed)));
        BY_NAME.put("random", (settings, seed, world, sidecar) -> new RandomPick(settings, seed));
        BY_NAME.put("round-robin", (settings, seed, world, sidecar) -> new RoundRobin(settings, seed));
        BY_NAME.put("least-outstanding", (settings, seed, world, sidecar) -> new LeastOutstanding(settings, seed));
        BY_NAME.put("two-choices", (settings, seed, world, sidecar) -> new TwoChoices(settings, seed));
        BY_NAME.put("oracle", Oracle::new);
    }

    private Policies() {}

    public static List<String> names() {
        return List.copyOf(BY_NAME.keySet());
    }

    public static Policy named(String name) {
        Policy policy = BY_NAME.get(name);
        if (policy == null) {
            throw new InvalidInputException(
                    "there is no policy " + name + "; known: " + String.join(", ", BY_NAME.keySet()));
        }
        return policy;
    }

    /** Any server, all alike. */
    private static final class RandomPick extends Textbook {
        RandomPick(Settings settings, long seed) {
            super(settings, seed);
        }

        @Override
        ServerState pick(List<ServerState> candidates) {
            return candidates.get(random.nextInt(candidates.size()));
        }
    }

    /** One after the other, beginning anywhere. */
    private static final class RoundRobin extends Textbook {
        private int next;

        RoundRobin(Settings settings, long seed) {
            super(settings, seed);
            next = random.nextInt(1 << 20);
        }

        @Override
        ServerState pick(List<ServerState> candidates) {
            return candidates.get(next++ % candidates.size());
        }
    }

    /** The one with the fewest of this sidecar's own requests in flight. */
    private static final class LeastOutstanding extends Textbook {
        LeastOutstanding(Settings settings, long seed) {
            super(settings, seed);
        }

        @Override
        ServerState pick(List<ServerState> candidates) {
            int offset = random.nextInt(candidates.size());
            ServerState best = null;
            for (int i = 0; i < candidates.size(); i++) {
                ServerState server = candidates.get((i + offset) % candidates.size());
                best = best == null || server.outstanding < best.outstanding ? server : best;
            }
            return best;
        }
    }

    /**
     * The better of two drawn ones (Mitzenmacher, "The power of two choices", 2001), and outlier ejection as common
     * proxies have it: five failures in a row eject for ten seconds times the number of ejections, half at the most.
     */
    private static final class TwoChoices extends Textbook {
        private static final int EJECT_AFTER_FAILURES = 5;
        private static final double EJECTION_MS = 10_000;

        TwoChoices(Settings settings, long seed) {
            super(settings, seed);
        }

        @Override
        ServerState pick(List<ServerState> candidates) {
            List<ServerState> healthy = candidates.stream()
                    .filter(server -> server.ejectedUntilMs <= nowMs)
                    .toList();
            List<ServerState> pool = 2 * healthy.size() < candidates.size() ? candidates : healthy;
            ServerState first = pool.get(random.nextInt(pool.size()));
            ServerState second = pool.get(random.nextInt(pool.size()));
            return second.outstanding < first.outstanding ? second : first;
        }

        @Override
        void attemptEnded(ServerState server, Outcome outcome) {
            switch (outcome) {
                case SERVED -> server.failuresInARow = 0;
                case ERROR, TIMED_OUT, CONNECT_FAILED, RESET -> {
                    if (++server.failuresInARow >= EJECT_AFTER_FAILURES) {
                        server.failuresInARow = 0;
                        server.ejectedUntilMs = nowMs + EJECTION_MS * ++server.ejections;
                    }
                }
                default -> {}
            }
        }
    }

    /**
     * Sees every server's true state at this moment: what it holds, what it can do, whether it lives. Sends where the
     * work would be done first; refuses at once what would not be done in time. No real policy can.
     */
    private static final class Oracle extends Textbook {
        /** Longer than a message takes within a zone or across: what was sent before has come. */
        private static final double MAX_IN_TRANSIT_MS = 3;

        private static final Map<World, Map<Server, ArrayDeque<Double>>> IN_TRANSIT_BY_WORLD =
                Collections.synchronizedMap(new WeakHashMap<>());

        private final World world;
        private final Map<Server, ArrayDeque<Double>> inTransit;
        private final Map<String, Double> workByClass = new LinkedHashMap<>();
        private double soonestMs;

        Oracle(Settings settings, long seed, World world, int sidecar) {
            super(settings, seed);
            this.world = world;
            this.inTransit = IN_TRANSIT_BY_WORLD.computeIfAbsent(world, w -> new HashMap<>());
            world.scenario().classes().forEach(k -> workByClass.put(k.name(), k.work()));
        }

        /** Each server's capacity is known, so none needs a slow start of its own. */
        @Override
        boolean passesSlowStart(ServerState server) {
            return true;
        }

        @Override
        ServerState pick(List<ServerState> candidates) {
            ServerState best = null;
            soonestMs = Double.POSITIVE_INFINITY;
            for (ServerState server : candidates) {
                double timeMs = expectedMs(world.server(server.endpoint.server()));
                if (timeMs < soonestMs) {
                    soonestMs = timeMs;
                    best = server;
                }
            }
            return best;
        }

        private int countInTransit(Server server) {
            ArrayDeque<Double> sentAtMs = inTransit.computeIfAbsent(server, x -> new ArrayDeque<>());
            while (!sentAtMs.isEmpty() && sentAtMs.peekFirst() < nowMs - MAX_IN_TRANSIT_MS) {
                sentAtMs.removeFirst();
            }
            return sentAtMs.size();
        }

        private double expectedMs(Server server) {
            return server.expectedMs(world.scenario().meanWork(), countInTransit(server));
        }

        @Override
        void attemptStarted(ServerState server) {
            countInTransit(world.server(server.endpoint.server()));
            inTransit.get(world.server(server.endpoint.server())).addLast(nowMs);
        }

        /** Where not all can be served, worth by work decides. */
        @Override
        boolean rejects(RequestClass requestClass, ServerState best, double leftMs) {
            double targetMs = Math.min(leftMs, requestClass.latencyTargetMs());
            double valueDensity = requestClass.value() / workByClass.get(requestClass.name());
            double maxValueDensity = settings.classes().stream()
                    .mapToDouble(c -> c.value() / workByClass.get(c.name()))
                    .max()
                    .orElse(1);
            return soonestMs > targetMs * (0.6 + 0.6 * valueDensity / maxValueDensity);
        }
    }
}
