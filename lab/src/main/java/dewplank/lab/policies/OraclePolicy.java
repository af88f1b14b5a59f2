package dewplank.lab.policies;

import dewplank.balancer.Settings;
import dewplank.balancer.Settings.RequestClass;
import dewplank.emulator.Server;
import dewplank.emulator.World;
import java.util.ArrayDeque;
import java.util.Collections;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.WeakHashMap;

/**
 * Sees every server's true state at this moment: its work, its capacity, whether it is up. Sends where the work would
 * be done first and rejects at once what would not be done in time. No real policy can.
 *
 * <p>The instances of one world see each other's requests in transit, so they may not decide in parallel.
 */
final class OraclePolicy extends TextbookPolicy {
    /** Longer than a message takes within a zone or across: what was sent before has come. */
    private static final double MAX_IN_TRANSIT_MS = 3;
    /** A request whose value by its work is 0 is rejected if it would take longer than this part of its target. */
    private static final double MIN_ACCEPTED_PART = 0.6;
    /** What is added to that part for the class with the highest value by its work. */
    private static final double ACCEPTED_PART_BY_VALUE = 0.6;

    /** When requests were sent that are in transit to a server, in milliseconds. */
    private static final Map<World, Map<Server, ArrayDeque<Double>>> IN_TRANSIT_BY_WORLD =
            Collections.synchronizedMap(new WeakHashMap<>());

    private final World world;
    private final Map<Server, ArrayDeque<Double>> inTransit;
    private final Map<String, Double> workByClass = new LinkedHashMap<>();
    private double pickedMs;

    OraclePolicy(Settings settings, long seed, World world) {
        super(settings, seed);
        this.world = world;
        this.inTransit = IN_TRANSIT_BY_WORLD.computeIfAbsent(world, any -> new HashMap<>());
        world.scenario().classes().forEach(kind -> workByClass.put(kind.name(), kind.work()));
    }

    /** Each server's capacity is known, so none needs a slow start. */
    @Override
    boolean passesSlowStart(ServerState server) {
        return true;
    }

    @Override
    Optional<ServerState> pick(List<ServerState> candidates) {
        Optional<ServerState> best = Optional.empty();
        pickedMs = Double.POSITIVE_INFINITY;
        for (ServerState server : candidates) {
            double expectedMs = expectedMs(server);
            if (expectedMs < pickedMs) {
                pickedMs = expectedMs;
                best = Optional.of(server);
            }
        }
        return best;
    }

    /** How long a request of mean work would take there, from now. */
    private double expectedMs(ServerState state) {
        Server server = serverOf(state);
        return server.expectedMs(
                world.scenario().meanWork(), inTransitTo(server).size());
    }

    private Server serverOf(ServerState state) {
        return world.server(state.id()).orElseThrow();
    }

    private ArrayDeque<Double> inTransitTo(Server server) {
        ArrayDeque<Double> sentAtMs = inTransit.computeIfAbsent(server, any -> new ArrayDeque<>());
        while (!sentAtMs.isEmpty() && sentAtMs.peekFirst() < nowMs() - MAX_IN_TRANSIT_MS) {
            sentAtMs.removeFirst();
        }
        return sentAtMs;
    }

    @Override
    void attemptStarted(ServerState server) {
        inTransitTo(serverOf(server)).addLast(nowMs());
    }

    /** Where not all can be served, value by work decides. */
    @Override
    boolean rejects(RequestClass requestClass, double leftMs) {
        double targetMs = Math.min(leftMs, requestClass.latencyTargetMs());
        double maxValueByWork = settings().classes().stream()
                .mapToDouble(this::valueByWork)
                .max()
                .orElse(1);
        double acceptedPart = MIN_ACCEPTED_PART + ACCEPTED_PART_BY_VALUE * valueByWork(requestClass) / maxValueByWork;
        return pickedMs > targetMs * acceptedPart;
    }

    private double valueByWork(RequestClass requestClass) {
        return requestClass.value() / workByClass.get(requestClass.name());
    }
}
