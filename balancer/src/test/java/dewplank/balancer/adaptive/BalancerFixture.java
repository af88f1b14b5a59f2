package dewplank.balancer.adaptive;

import dewplank.balancer.Action;
import dewplank.balancer.Action.Send;
import dewplank.balancer.Action.SetTimer;
import dewplank.balancer.Balancer;
import dewplank.balancer.Endpoint;
import dewplank.balancer.Endpoint.Availability;
import dewplank.balancer.Event;
import dewplank.balancer.Event.AttemptEnded;
import dewplank.balancer.Event.EndpointUpdate;
import dewplank.balancer.Event.RequestArrived;
import dewplank.balancer.Event.TimerFired;
import dewplank.balancer.Event.UpdateKind;
import dewplank.balancer.Outcome;
import dewplank.balancer.Settings;
import dewplank.balancer.Settings.DeduplicationScope;
import dewplank.balancer.Settings.Goal;
import dewplank.balancer.Settings.Idempotency;
import dewplank.balancer.Settings.Limits;
import dewplank.balancer.Settings.Prices;
import dewplank.balancer.Settings.RequestClass;
import dewplank.balancer.Settings.Safety;
import dewplank.balancer.Settings.Tenant;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;

/** Drives one balancer on a clock of its own: builds settings, passes events, records and answers its actions. */
final class BalancerFixture {
    static final double LATENCY_TARGET_MS = 300;
    static final double DEADLINE_MS = 600;

    double nowMs = 1_000;
    long nextRequest = 1;
    final List<Action> actions = new ArrayList<>();
    final Balancer balancer;

    static final class Setup {
        boolean allowsHedging;
        boolean allowsCancellation = true;
        boolean allowsHealthChecks;
        boolean exchangesPeerSummaries;
        boolean endpointListIsPushed = true;
        boolean onlyDrainingIsBinding;
        boolean rejectedMayHaveRun;
        boolean serversAreRated;
        boolean serversCacheKeys;
        int maxAttempts = 4;
        int replicaCount = 4;
        int replicaIndex;
        double tailWeight;
        double crossZonePrice;
        Idempotency idempotency = Idempotency.SAFE;
        DeduplicationScope deduplicationScope = DeduplicationScope.ALL;
        boolean readsAreStreams;
        double latencyTargetPerWork;
        List<Tenant> tenants = List.of();
        List<RequestClass> extraClasses = List.of();

        Settings settings() {
            List<RequestClass> classes = new ArrayList<>();
            classes.add(new RequestClass(
                    "read",
                    Idempotency.SAFE,
                    DeduplicationScope.ALL,
                    0,
                    LATENCY_TARGET_MS,
                    latencyTargetPerWork,
                    DEADLINE_MS,
                    1,
                    0,
                    readsAreStreams));
            classes.add(new RequestClass(
                    "act", idempotency, deduplicationScope, 400, LATENCY_TARGET_MS, 0, DEADLINE_MS, 5, 0, false));
            classes.addAll(extraClasses);
            return new Settings(
                    replicaIndex,
                    replicaCount,
                    "z1",
                    1,
                    endpointListIsPushed,
                    false,
                    serversAreRated,
                    serversCacheKeys,
                    0.1,
                    List.of("busy"),
                    false,
                    classes,
                    tenants,
                    new Limits(
                            maxAttempts,
                            allowsHedging,
                            allowsCancellation,
                            allowsHealthChecks,
                            exchangesPeerSummaries,
                            true,
                            300,
                            100,
                            15_000,
                            100),
                    new Safety(10_000, 10_000, 0.3, 3, 1_000, onlyDrainingIsBinding, rejectedMayHaveRun),
                    new Prices(crossZonePrice, 0),
                    new Goal(0.9, 0.1, tailWeight, tailWeight > 0 ? 0.01 : 0));
        }
    }

    BalancerFixture(Setup setup) {
        this(setup, 7);
    }

    BalancerFixture(Setup setup, long seed) {
        balancer = new AdaptiveBalancer(setup.settings(), new SplittableRandom(seed));
    }

    /** A fixture whose endpoint list names the running servers s0, s1, … in zone z1 and cell 0. */
    static BalancerFixture with(Setup setup, int serverCount) {
        BalancerFixture fixture = new BalancerFixture(setup);
        Endpoint[] entries = new Endpoint[serverCount];
        for (int index = 0; index < serverCount; index++) {
            entries[index] = endpoint("s" + index, "z1", 0, Availability.UP, null);
        }
        fixture.handle(new EndpointUpdate(UpdateKind.CACHED, List.of(entries)));
        return fixture;
    }

    static Endpoint endpoint(String id, String zone, long cell, Availability availability, Double startedAt) {
        return new Endpoint(id, zone, "k", cell, availability, 1, startedAt);
    }

    List<Action> handle(Event event) {
        List<Action> emitted = new ArrayList<>();
        balancer.handle(nowMs, event, emitted::add);
        actions.addAll(emitted);
        return emitted;
    }

    List<Action> updateEndpoints(UpdateKind kind, Endpoint... entries) {
        return handle(new EndpointUpdate(kind, List.of(entries)));
    }

    List<Action> arrive(String requestClass) {
        return handle(new RequestArrived(nextRequest++, null, null, false, requestClass, DEADLINE_MS, 20.0));
    }

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

    /** One request, sent and served after {@code elapsedMs}; returns the server that served it. */
    String serve(String requestClass, double elapsedMs) {
        Send send = firstSend(arrive(requestClass));
        nowMs += elapsedMs;
        endAttempt(send, 0, Outcome.SERVED, elapsedMs, true);
        return send.server();
    }

    /** Fires the timers that these actions set, in their order, with the clock moved to each. */
    List<Action> fireTimers(List<Action> setting) {
        List<Action> emitted = new ArrayList<>();
        double from = nowMs;
        for (SetTimer timer : actionsOf(setting, SetTimer.class)) {
            nowMs = Math.max(nowMs, from + timer.delayMs());
            emitted.addAll(handle(new TimerFired(timer.timer())));
        }
        return emitted;
    }
}
