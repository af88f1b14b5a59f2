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
    private static final Map<String, Policy> ALL = new LinkedHashMap<>();

    static {
        ALL.put("choice", (settings, seed, world, me) -> new AdaptiveBalancer(settings, new SplittableRandom(seed)));
        ALL.put("random", (settings, seed, world, me) -> new RandomPick(settings, seed));
        ALL.put("round-robin", (settings, seed, world, me) -> new RoundRobin(settings, seed));
        ALL.put("least-outstanding", (settings, seed, world, me) -> new LeastOutstanding(settings, seed));
        ALL.put("two-choices", (settings, seed, world, me) -> new TwoChoices(settings, seed));
        ALL.put("oracle", Oracle::new);
    }

    private Policies() {}

    public static List<String> names() {
        return List.copyOf(ALL.keySet());
    }

    public static Policy named(String name) {
        Policy policy = ALL.get(name);
        if (policy == null) {
            throw new InvalidInputException(
                    "there is no policy " + name + "; known: " + String.join(", ", ALL.keySet()));
        }
        return policy;
    }

    /** Any server, all alike. */
    private static final class RandomPick extends Textbook {
        RandomPick(Settings settings, long seed) {
            super(settings, seed);
        }

        @Override
        Peer pick(List<Peer> from) {
            return from.get(random.nextInt(from.size()));
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
        Peer pick(List<Peer> from) {
            return from.get(next++ % from.size());
        }
    }

    /** The one with the fewest of this sidecar's own requests in flight. */
    private static final class LeastOutstanding extends Textbook {
        LeastOutstanding(Settings settings, long seed) {
            super(settings, seed);
        }

        @Override
        Peer pick(List<Peer> from) {
            int offset = random.nextInt(from.size());
            Peer best = null;
            for (int i = 0; i < from.size(); i++) {
                Peer p = from.get((i + offset) % from.size());
                best = best == null || p.outstanding < best.outstanding ? p : best;
            }
            return best;
        }
    }

    /**
     * The better of two drawn ones (Mitzenmacher, "The power of two choices", 2001), and outlier ejection as common
     * proxies have it: five failures in a row eject for ten seconds times the number of ejections, half at the most.
     */
    private static final class TwoChoices extends Textbook {
        private static final int IN_A_ROW = 5;
        private static final double EJECT_MS = 10_000;

        TwoChoices(Settings settings, long seed) {
            super(settings, seed);
        }

        @Override
        Peer pick(List<Peer> from) {
            List<Peer> in = from.stream().filter(p -> p.ejectedUntil <= now).toList();
            List<Peer> of = 2 * in.size() < from.size() ? from : in;
            Peer a = of.get(random.nextInt(of.size()));
            Peer b = of.get(random.nextInt(of.size()));
            return b.outstanding < a.outstanding ? b : a;
        }

        @Override
        void learn(Peer p, Outcome outcome) {
            switch (outcome) {
                case SERVED -> p.failuresInARow = 0;
                case ERROR, TIMED_OUT, CONNECT_FAILED, RESET -> {
                    if (++p.failuresInARow >= IN_A_ROW) {
                        p.failuresInARow = 0;
                        p.ejectedUntil = now + EJECT_MS * ++p.ejections;
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
        private static final double ON_THE_WAY_MS = 3;

        private static final Map<World, Map<Server, ArrayDeque<Double>>> ON_THE_WAY =
                Collections.synchronizedMap(new WeakHashMap<>());

        private final World world;
        private final Map<Server, ArrayDeque<Double>> onTheWay;
        private final Map<String, Double> works = new LinkedHashMap<>();
        private double soonest;

        Oracle(Settings settings, long seed, World world, int me) {
            super(settings, seed);
            this.world = world;
            this.onTheWay = ON_THE_WAY.computeIfAbsent(world, w -> new HashMap<>());
            world.scenario().classes().forEach(k -> works.put(k.name(), k.work()));
        }

        /** Each server's capacity is known, so none needs a slow start of its own. */
        @Override
        boolean warmEnough(Peer p) {
            return true;
        }

        @Override
        Peer pick(List<Peer> from) {
            Peer best = null;
            soonest = Double.POSITIVE_INFINITY;
            for (Peer p : from) {
                double time = time(world.server(p.entry.server()));
                if (time < soonest) {
                    soonest = time;
                    best = p;
                }
            }
            return best;
        }

        private int coming(Server s) {
            ArrayDeque<Double> sent = onTheWay.computeIfAbsent(s, x -> new ArrayDeque<>());
            while (!sent.isEmpty() && sent.peekFirst() < now - ON_THE_WAY_MS) {
                sent.removeFirst();
            }
            return sent.size();
        }

        private double time(Server s) {
            return s.expectedMs(world.scenario().meanWork(), coming(s));
        }

        @Override
        void sent(Peer p) {
            coming(world.server(p.entry.server()));
            onTheWay.get(world.server(p.entry.server())).addLast(now);
        }

        /** Where not all can be served, worth by work decides. */
        @Override
        boolean refuses(RequestClass rules, Peer best, double leftMs) {
            double aim = Math.min(leftMs, rules.latencyTargetMs());
            double density = rules.value() / works.get(rules.name());
            double most = settings.classes().stream()
                    .mapToDouble(c -> c.value() / works.get(c.name()))
                    .max()
                    .orElse(1);
            return soonest > aim * (0.6 + 0.6 * density / most);
        }
    }
}
