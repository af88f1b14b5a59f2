package dewplank.balancer.adaptive;

import dewplank.balancer.Action;
import dewplank.balancer.Action.Send;
import dewplank.balancer.Action.SetTimer;
import dewplank.balancer.Endpoint;
import dewplank.balancer.Endpoint.Availability;
import dewplank.balancer.Event;
import dewplank.balancer.Event.AttemptEnded;
import dewplank.balancer.Event.EndpointUpdate;
import dewplank.balancer.Event.RequestArrived;
import dewplank.balancer.Event.TimerFired;
import dewplank.balancer.Event.UpdateKind;
import dewplank.balancer.Outcome;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;

/**
 * A simulated host of one {@link AdaptiveBalancer}: passes events to it and records its actions.
 *
 * <p>The time is {@link #nowMs}, which only the test advances; random numbers come from a fixed seed. A test is
 * therefore reproducible bit for bit on any machine.
 */
final class BalancerFixture {
    /** The default expected work of a request, in milliseconds of a standard core. */
    static final double DEFAULT_COST_MS = 20;

    private static final long DEFAULT_SEED = 7;

    double nowMs = 1_000;
    final List<Action> actions = new ArrayList<>();
    final AdaptiveBalancer balancer;
    private long nextRequest = 1;

    private BalancerFixture(SettingsBuilder settings, long seed) {
        balancer = new AdaptiveBalancer(settings.build(), new SplittableRandom(seed));
    }

    /** A balancer that has received no endpoint list yet. */
    static BalancerFixture withoutEndpoints(SettingsBuilder settings) {
        return withoutEndpoints(settings, DEFAULT_SEED);
    }

    static BalancerFixture withoutEndpoints(SettingsBuilder settings, long seed) {
        return new BalancerFixture(settings, seed);
    }

    /** A balancer with the default settings and the servers of {@link #withServers(SettingsBuilder, int)}. */
    static BalancerFixture withServers(int serverCount) {
        return withServers(SettingsBuilder.settings(), serverCount);
    }

    /** A balancer with an endpoint list of the running servers s0, s1, … in zone z1 and cell 0. */
    static BalancerFixture withServers(SettingsBuilder settings, int serverCount) {
        BalancerFixture fixture = withoutEndpoints(settings);
        Endpoint[] endpoints = new Endpoint[serverCount];
        for (int index = 0; index < serverCount; index++) {
            endpoints[index] = endpoint("s" + index, Availability.UP);
        }
        fixture.updateEndpoints(UpdateKind.CACHED, endpoints);
        return fixture;
    }

    /** An endpoint in zone z1 and cell 0 that started long ago. */
    static Endpoint endpoint(String server, Availability availability) {
        return new Endpoint(server, "z1", "k", 0, availability, 1, null);
    }

    /** A running endpoint in the given failure domain that started long ago. */
    static Endpoint endpointIn(String zone, long cell, String server) {
        return new Endpoint(server, zone, "k", cell, Availability.UP, 1, null);
    }

    /** A running endpoint in zone z1 and cell 0 whose process started at the given time. */
    static Endpoint endpointStartedAt(double startedAtMs, String server) {
        return new Endpoint(server, "z1", "k", 0, Availability.UP, 1, startedAtMs);
    }

    List<Action> handle(Event event) {
        List<Action> emitted = new ArrayList<>();
        balancer.handle(nowMs, event, emitted::add);
        actions.addAll(emitted);
        return emitted;
    }

    List<Action> updateEndpoints(UpdateKind kind, Endpoint... endpoints) {
        return handle(new EndpointUpdate(kind, List.of(endpoints)));
    }

    List<Action> arrive(String requestClass) {
        return arrive(requestClass, null, null, DEFAULT_COST_MS);
    }

    List<Action> arriveFromTenant(String tenant) {
        return arrive("read", tenant, null, DEFAULT_COST_MS);
    }

    List<Action> arriveWithKey(String key) {
        return arrive("read", null, key, DEFAULT_COST_MS);
    }

    List<Action> arriveWithCost(double costMs) {
        return arrive("read", null, null, costMs);
    }

    private List<Action> arrive(String requestClass, String tenant, String key, double costMs) {
        return handle(new RequestArrived(
                nextRequest++, tenant, key, false, requestClass, SettingsBuilder.DEADLINE_MS, costMs));
    }

    /** The first attempt that these actions send, or null if there is none. */
    static Send firstSend(List<Action> emitted) {
        return actionsOf(emitted, Send.class).stream().findFirst().orElse(null);
    }

    static <T extends Action> List<T> actionsOf(List<Action> emitted, Class<T> type) {
        return emitted.stream().filter(type::isInstance).map(type::cast).toList();
    }

    List<Action> endAttempt(Send send, int attempt, Outcome outcome, double elapsedMs, boolean requestIsOver) {
        return handle(
                new AttemptEnded(send.request(), attempt, send.server(), outcome, elapsedMs, requestIsOver, null));
    }

    /** Ends a first attempt as served. */
    void endServed(Send send, double elapsedMs) {
        endAttempt(send, 0, Outcome.SERVED, elapsedMs, true);
    }

    /** Sends one request and serves it after {@code elapsedMs}; returns the server. */
    String serve(String requestClass, double elapsedMs) {
        Send send = firstSend(arrive(requestClass));
        nowMs += elapsedMs;
        endServed(send, elapsedMs);
        return send.server();
    }

    /** Serves one read per second, each after 10 ms; returns the servers. */
    Set<String> serveOnePerSecond(int requests) {
        Set<String> servers = new HashSet<>();
        for (int request = 0; request < requests; request++) {
            servers.add(serve("read", 10));
            nowMs += 1_000;
        }
        return servers;
    }

    /** Fires the timers that these actions set, in the order in which they were set, and advances the clock to each. */
    List<Action> fireTimers(List<Action> emittedEarlier) {
        List<Action> emitted = new ArrayList<>();
        double setAtMs = nowMs;
        for (SetTimer timer : actionsOf(emittedEarlier, SetTimer.class)) {
            nowMs = Math.max(nowMs, setAtMs + timer.delayMs());
            emitted.addAll(handle(new TimerFired(timer.timer())));
        }
        return emitted;
    }

    /**
     * Sends reads, one every {@code intervalMs}, and their retries; each attempt takes 10 ms.
     *
     * @param failing servers that end each attempt with an error; the others serve
     * @return the number of first attempts by server
     */
    Map<String, Integer> runReads(int requests, double intervalMs, String... failing) {
        Map<String, Integer> firstSends = new HashMap<>();
        for (int request = 0; request < requests; request++) {
            Send send = firstSend(arrive("read"));
            nowMs += intervalMs;
            if (send == null) {
                continue;
            }
            firstSends.merge(send.server(), 1, Integer::sum);
            for (int attempt = 0; send != null; attempt++) {
                boolean fails = List.of(failing).contains(send.server());
                send = firstSend(endAttempt(send, attempt, fails ? Outcome.ERROR : Outcome.SERVED, 10, !fails));
            }
        }
        return firstSends;
    }
}
