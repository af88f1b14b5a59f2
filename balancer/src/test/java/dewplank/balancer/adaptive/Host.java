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

/** Drives one balancer by hand: builds settings, passes events, keeps and answers its actions. */
final class Host {
    static final double LATENCY_TARGET_MS = 300;
    static final double DEADLINE_MS = 600;

    double now = 1_000;
    long nextRequest = 1;
    final List<Action> all = new ArrayList<>();
    final Balancer balancer;

    static final class Setup {
        boolean allowsHedging;
        boolean allowsCancellation = true;
        boolean allowsHealthChecks;
        boolean exchangesSummaries;
        boolean listIsPushed = true;
        boolean onlyDrainingIsBinding;
        boolean rejectedMayHaveRun;
        boolean serversAreRated;
        boolean serversCacheKeys;
        int maxAttempts = 4;
        int replicas = 4;
        int me;
        double tail;
        double crossPrice;
        Idempotency effect = Idempotency.SAFE;
        DeduplicationScope scope = DeduplicationScope.ALL;
        boolean readsAreStreams;
        double latencyTargetPerWork;
        List<Tenant> tenants = List.of();
        List<RequestClass> moreClasses = List.of();

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
            classes.add(new RequestClass("act", effect, scope, 400, LATENCY_TARGET_MS, 0, DEADLINE_MS, 5, 0, false));
            classes.addAll(moreClasses);
            return new Settings(
                    me,
                    replicas,
                    "z1",
                    1,
                    listIsPushed,
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
                            exchangesSummaries,
                            true,
                            300,
                            100,
                            15_000,
                            100),
                    new Safety(10_000, 10_000, 0.3, 3, 1_000, onlyDrainingIsBinding, rejectedMayHaveRun),
                    new Prices(crossPrice, 0),
                    new Goal(0.9, 0.1, tail, tail > 0 ? 0.01 : 0));
        }
    }

    Host(Setup setup) {
        this(setup, 7);
    }

    Host(Setup setup, long seed) {
        balancer = new AdaptiveBalancer(setup.settings(), new SplittableRandom(seed));
    }

    /** A host whose list names n running servers, s0 to s(n-1), all in zone z1 and cell 0. */
    static Host with(Setup setup, int n) {
        Host h = new Host(setup);
        Endpoint[] entries = new Endpoint[n];
        for (int i = 0; i < n; i++) {
            entries[i] = entry("s" + i, "z1", 0, Availability.UP, null);
        }
        h.tell(new EndpointUpdate(UpdateKind.CACHED, List.of(entries)));
        return h;
    }

    static Endpoint entry(String id, String zone, long cell, Availability a, Double startedAt) {
        return new Endpoint(id, zone, "k", cell, a, 1, startedAt);
    }

    List<Action> tell(Event e) {
        List<Action> some = new ArrayList<>();
        balancer.handle(now, e, some::add);
        all.addAll(some);
        return some;
    }

    List<Action> list(UpdateKind form, Endpoint... entries) {
        return tell(new EndpointUpdate(form, List.of(entries)));
    }

    List<Action> arrive(String kind) {
        return tell(new RequestArrived(nextRequest++, null, null, false, kind, DEADLINE_MS, 20.0));
    }

    static Send sent(List<Action> actions) {
        return of(actions, Send.class).stream().findFirst().orElse(null);
    }

    static <T extends Action> List<T> of(List<Action> actions, Class<T> type) {
        return actions.stream().filter(type::isInstance).map(type::cast).toList();
    }

    List<Action> end(Send s, int attempt, Outcome outcome, double took, boolean over) {
        return tell(new AttemptEnded(s.request(), attempt, s.server(), outcome, took, over, null));
    }

    /** One request, sent and served after {@code took}; the server that served it. */
    String serve(String kind, double took) {
        Send s = sent(arrive(kind));
        now += took;
        end(s, 0, Outcome.SERVED, took, true);
        return s.server();
    }

    /** Timers set by these actions that are due by {@code now + ms}, fired in order with the clock moved. */
    List<Action> fire(List<Action> setting) {
        List<Action> some = new ArrayList<>();
        double from = now;
        for (SetTimer t : of(setting, SetTimer.class)) {
            now = Math.max(now, from + t.delayMs());
            some.addAll(tell(new TimerFired(t.timer())));
        }
        return some;
    }
}
