package dewplank.lab.policies;

import dewplank.balancer.Action;
import dewplank.balancer.Action.Fail;
import dewplank.balancer.Action.Reject;
import dewplank.balancer.Action.Send;
import dewplank.balancer.Action.SetTimer;
import dewplank.balancer.Action.Subscribe;
import dewplank.balancer.Balancer;
import dewplank.balancer.Endpoint;
import dewplank.balancer.Endpoint.Availability;
import dewplank.balancer.Event;
import dewplank.balancer.Event.AttemptEnded;
import dewplank.balancer.Event.EndpointUpdate;
import dewplank.balancer.Event.RequestAbandoned;
import dewplank.balancer.Event.RequestArrived;
import dewplank.balancer.Event.TimerFired;
import dewplank.balancer.Event.UpdateKind;
import dewplank.balancer.Outcome;
import dewplank.balancer.Settings;
import dewplank.balancer.Settings.DeduplicationScope;
import dewplank.balancer.Settings.Idempotency;
import dewplank.balancer.Settings.RequestClass;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.function.Consumer;

/**
 * What all textbook policies share: the list of servers, retries as the rules allow, slow start for cold servers. The
 * pick is the subclass's. No admission: each request is tried while its attempts and its time last.
 */
abstract class Textbook implements Balancer {
    private static final double RESUBSCRIBE_DELAY_MS = 1_000;

    /** One server as this sidecar sees it. */
    static final class ServerState {
        Endpoint endpoint;
        int outstanding;
        int failuresInARow;
        double ejectedUntilMs;
        int ejections;
    }

    private static final class OpenRequest {
        final RequestArrived arrived;
        final RequestClass requestClass;
        final double deadlineMs;
        final Set<String> triedServers = new HashSet<>(4);
        int attempts;
        boolean mayHaveRun;
        double firstSentAtMs = Double.NaN;

        OpenRequest(RequestArrived arrived, RequestClass requestClass, double deadlineMs) {
            this.arrived = arrived;
            this.requestClass = requestClass;
            this.deadlineMs = deadlineMs;
        }
    }

    final Settings settings;
    final SplittableRandom random;
    final Map<String, ServerState> servers = new LinkedHashMap<>();
    double nowMs;
    private final Map<String, RequestClass> classes = new HashMap<>();
    private final Map<Long, OpenRequest> open = new HashMap<>();
    private Consumer<Action> actions;
    private boolean subscribed;
    private final List<ServerState> available = new ArrayList<>(); // those up, in the list's order
    private boolean anyWarmingUp;

    Textbook(Settings settings, long seed) {
        this.settings = settings;
        this.random = new SplittableRandom(seed);
        settings.classes().forEach(c -> classes.put(c.name(), c));
    }

    /** One of these, none of which is empty; {@code work}: the mean of the class is not known here. */
    abstract ServerState pick(List<ServerState> candidates);

    /** What became of an attempt at that server. */
    void attemptEnded(ServerState server, Outcome outcome) {}

    /** An attempt goes there now. */
    void attemptStarted(ServerState server) {}

    /** Whether to refuse at once. */
    boolean rejects(RequestClass requestClass, ServerState best, double leftMs) {
        return false;
    }

    @Override
    public void handle(double timeMs, Event event, Consumer<Action> sink) {
        nowMs = timeMs;
        actions = sink;
        if (event instanceof EndpointUpdate e) {
            updateEndpoints(e);
        } else if (event instanceof RequestArrived e) {
            OpenRequest request = new OpenRequest(e, classes.get(e.requestClass()), nowMs + e.budgetMs());
            open.put(e.request(), request);
            attempt(request);
        } else if (event instanceof AttemptEnded e) {
            endAttempt(e);
        } else if (event instanceof RequestAbandoned e) {
            open.remove(e.request());
        } else if (event instanceof TimerFired) {
            actions.accept(new Subscribe());
        }
    }

    private void updateEndpoints(EndpointUpdate update) {
        if (update.kind() == UpdateKind.BROKEN) {
            actions.accept(new SetTimer(1, RESUBSCRIBE_DELAY_MS));
            return;
        }
        if (update.kind() != UpdateKind.INCREMENTAL) {
            Set<String> named = new HashSet<>();
            update.endpoints().forEach(e -> named.add(e.server()));
            servers.keySet().removeIf(id -> !named.contains(id));
        }
        for (Endpoint e : update.endpoints()) {
            if (e.availability() == Availability.REMOVED) {
                servers.remove(e.server());
            } else {
                servers.computeIfAbsent(e.server(), id -> new ServerState()).endpoint = e;
            }
        }
        available.clear();
        anyWarmingUp = false;
        for (ServerState server : servers.values()) {
            if (server.endpoint.availability() == Availability.UP) {
                available.add(server);
                anyWarmingUp |= server.endpoint.startedAtMs() != null;
            }
        }
        if (!subscribed) {
            subscribed = true;
            actions.accept(new Subscribe());
        }
    }

    /** Slow start: a cold server is drawn as often as it is surely warm. */
    boolean passesSlowStart(ServerState server) {
        Double startedAtMs = server.endpoint.startedAtMs();
        double slowStartMs = settings.safety().slowStartMs();
        if (startedAtMs == null || slowStartMs <= 0 || nowMs - startedAtMs >= slowStartMs) {
            return true;
        }
        double initialFraction = settings.safety().slowStartInitialShare();
        return random.nextDouble()
                < initialFraction + (1 - initialFraction) * Math.max(0, nowMs - startedAtMs) / slowStartMs;
    }

    private void attempt(OpenRequest request) {
        List<ServerState> candidates = available;
        if (anyWarmingUp || !request.triedServers.isEmpty()) {
            candidates = new ArrayList<>();
            for (ServerState server : available) {
                if (!request.triedServers.contains(server.endpoint.server()) && passesSlowStart(server)) {
                    candidates.add(server);
                }
            }
        }
        ServerState server = candidates.isEmpty() ? null : pick(candidates);
        boolean first = request.attempts == 0;
        if (server == null || first && rejects(request.requestClass, server, request.deadlineMs - nowMs)) {
            giveUp(request);
            return;
        }
        request.attempts++;
        request.triedServers.add(server.endpoint.server());
        server.outstanding++;
        if (Double.isNaN(request.firstSentAtMs)) {
            request.firstSentAtMs = nowMs;
        }
        attemptStarted(server);
        actions.accept(new Send(request.arrived.request(), server.endpoint.server(), 0));
    }

    private void endAttempt(AttemptEnded e) {
        ServerState server = servers.get(e.server());
        if (server != null) {
            server.outstanding = Math.max(0, server.outstanding - 1);
            attemptEnded(server, e.outcome());
        }
        OpenRequest request = open.get(e.request());
        if (request == null) {
            return;
        }
        if (e.requestIsOver()) {
            open.remove(e.request());
            return;
        }
        boolean neverRan = e.outcome() == Outcome.REJECTED
                || e.outcome() == Outcome.CONNECT_FAILED
                || e.outcome() == Outcome.NEVER_SENT;
        request.mayHaveRun |= !neverRan;
        boolean mayRetry = !request.mayHaveRun
                || request.requestClass.idempotency() == Idempotency.SAFE
                || request.requestClass.idempotency() == Idempotency.KEYED
                        && request.requestClass.deduplicationScope() == DeduplicationScope.ALL
                        && nowMs - request.firstSentAtMs < request.requestClass.deduplicationWindowMs();
        if (mayRetry && request.attempts < settings.limits().maxAttempts() && nowMs < request.deadlineMs - 1) {
            attempt(request);
        } else {
            giveUp(request);
        }
    }

    private void giveUp(OpenRequest request) {
        open.remove(request.arrived.request());
        boolean mayReject = !request.mayHaveRun || request.requestClass.idempotency() == Idempotency.SAFE;
        actions.accept(mayReject ? new Reject(request.arrived.request(), 0) : new Fail(request.arrived.request()));
    }
}
