package dewplank.lab.policies;

import dewplank.balancer.Settings;
import dewplank.balancer.Settings.RequestClass;
import dewplank.emulator.EmulatedEnvironment;
import dewplank.emulator.Server;
import java.util.ArrayDeque;
import java.util.Collections;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.WeakHashMap;

/**
 * Has access to the true current state of every server: its work, its capacity and whether it is up. Sends each request
 * to the server that would complete it first, and immediately rejects requests that would miss their target. No real
 * policy has this information.
 *
 * <p>The instances of one emulated environment share the requests in transit, so they must not decide in parallel.
 */
final class OraclePolicy extends TextbookPolicy {
    /** An upper bound of the network delay within and across zones; requests sent longer ago have arrived. */
    private static final double MAX_IN_TRANSIT_MS = 3;
    /** A request with a value of 0 per work is rejected if it would take longer than this fraction of its target. */
    private static final double MIN_ACCEPTED_FRACTION = 0.6;
    /** Added to that fraction for the class with the highest value per work, and proportionally for the others. */
    private static final double ACCEPTED_FRACTION_BY_VALUE = 0.6;

    /** The send times of the requests in transit to each server, in milliseconds. */
    private static final Map<EmulatedEnvironment, Map<Server, ArrayDeque<Double>>> IN_TRANSIT_BY_ENVIRONMENT =
            Collections.synchronizedMap(new WeakHashMap<>());

    private final EmulatedEnvironment environment;
    private final Map<Server, ArrayDeque<Double>> inTransit;
    private final Map<String, Double> workByClass = new LinkedHashMap<>();
    private double pickedDurationMs;

    OraclePolicy(Settings settings, long seed, EmulatedEnvironment environment) {
        super(settings, seed);
        this.environment = environment;
        this.inTransit = IN_TRANSIT_BY_ENVIRONMENT.computeIfAbsent(environment, any -> new HashMap<>());
        environment
                .scenario()
                .classes()
                .forEach(requestClass -> workByClass.put(requestClass.name(), requestClass.work()));
    }

    /** The true capacity of each server is known, so no server needs slow start. */
    @Override
    boolean passesSlowStart(ServerState server) {
        return true;
    }

    @Override
    Optional<ServerState> pick(List<ServerState> candidates) {
        Optional<ServerState> best = Optional.empty();
        pickedDurationMs = Double.POSITIVE_INFINITY;
        for (ServerState server : candidates) {
            double expectedMs = expectedMs(server);
            if (expectedMs < pickedDurationMs) {
                pickedDurationMs = expectedMs;
                best = Optional.of(server);
            }
        }
        return best;
    }

    /** The expected duration of a request of mean work that is sent to this server now. */
    private double expectedMs(ServerState state) {
        Server server = serverOf(state);
        return server.expectedMs(
                environment.scenario().meanWork(), inTransitTo(server).size());
    }

    private Server serverOf(ServerState state) {
        return environment.server(state.id()).orElseThrow();
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

    /** If the capacity does not suffice for all requests, those with the highest value per work are accepted. */
    @Override
    boolean rejects(RequestClass requestClass, double remainingMs) {
        double targetMs = Math.min(remainingMs, requestClass.latencyTargetMs());
        double maxValuePerWork = settings().classes().stream()
                .mapToDouble(this::valuePerWork)
                .max()
                .orElse(1);
        double acceptedFraction =
                MIN_ACCEPTED_FRACTION + ACCEPTED_FRACTION_BY_VALUE * valuePerWork(requestClass) / maxValuePerWork;
        return pickedDurationMs > targetMs * acceptedFraction;
    }

    private double valuePerWork(RequestClass requestClass) {
        return requestClass.value() / workByClass.get(requestClass.name());
    }
}
