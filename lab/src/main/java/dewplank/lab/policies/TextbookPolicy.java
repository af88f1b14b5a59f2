package dewplank.lab.policies;

import dewplank.balancer.Action;
import dewplank.balancer.Action.Fail;
import dewplank.balancer.Action.Reject;
import dewplank.balancer.Action.Send;
import dewplank.balancer.Action.SetTimer;
import dewplank.balancer.Action.Subscribe;
import dewplank.balancer.Balancer;
import dewplank.balancer.Event;
import dewplank.balancer.Event.AttemptEnded;
import dewplank.balancer.Event.EndpointUpdate;
import dewplank.balancer.Event.RequestAbandoned;
import dewplank.balancer.Event.RequestArrived;
import dewplank.balancer.Event.TimerFired;
import dewplank.balancer.Event.UpdateKind;
import dewplank.balancer.Outcome;
import dewplank.balancer.Settings;
import dewplank.balancer.Settings.RequestClass;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.function.Consumer;

/**
 * The common part of all textbook policies: the endpoint list, retries within the rules, and slow start for cold
 * servers. Subclasses pick the server. There is no admission control: each request is attempted until it runs out of
 * attempts or time.
 */
abstract class TextbookPolicy implements Balancer {
    private static final double RESUBSCRIBE_DELAY_MS = 1_000;
    private static final long RESUBSCRIBE_TIMER = 1;
    private static final double NO_RETRY_AFTER_MS = 0;
    private static final double NO_ATTEMPT_TIMEOUT_MS = 0;

    private final Settings settings;
    private final SplittableRandom random;
    private final Map<String, RequestClass> classes = new HashMap<>();
    private final ServerTable servers = new ServerTable();
    private final Map<Long, OpenRequest> open = new HashMap<>();
    private double nowMs;
    private Consumer<Action> actions;
    private boolean hasSubscribed;

    TextbookPolicy(Settings settings, long seed) {
        this.settings = settings;
        this.random = new SplittableRandom(seed);
        settings.classes().forEach(requestClass -> classes.put(requestClass.name(), requestClass));
    }

    /** Picks one of the candidates, a list that is never empty. Returns empty if none is suitable. */
    abstract Optional<ServerState> pick(List<ServerState> candidates);

    /** Called when an attempt at this server has ended. */
    void attemptEnded(ServerState server, Outcome outcome) {}

    /** Called when an attempt is sent to this server. */
    void attemptStarted(ServerState server) {}

    /** Whether to reject a request before its first attempt, which would be sent to the most recently picked server. */
    boolean rejects(RequestClass requestClass, double remainingMs) {
        return false;
    }

    final Settings settings() {
        return settings;
    }

    final SplittableRandom random() {
        return random;
    }

    /** The time of the event that is being handled, in milliseconds. */
    final double nowMs() {
        return nowMs;
    }

    @Override
    public void handle(double timeMs, Event event, Consumer<Action> sink) {
        nowMs = timeMs;
        actions = sink;
        if (event instanceof EndpointUpdate update) {
            updateEndpoints(update);
        } else if (event instanceof RequestArrived arrived) {
            OpenRequest request = new OpenRequest(arrived, classes.get(arrived.requestClass()), nowMs);
            open.put(arrived.request(), request);
            attempt(request);
        } else if (event instanceof AttemptEnded ended) {
            endAttempt(ended);
        } else if (event instanceof RequestAbandoned abandoned) {
            open.remove(abandoned.request());
        } else if (event instanceof TimerFired) {
            actions.accept(new Subscribe());
        }
    }

    private void updateEndpoints(EndpointUpdate update) {
        if (update.kind() == UpdateKind.BROKEN) {
            actions.accept(new SetTimer(RESUBSCRIBE_TIMER, RESUBSCRIBE_DELAY_MS));
            return;
        }
        servers.update(update);
        if (!hasSubscribed) {
            hasSubscribed = true;
            actions.accept(new Subscribe());
        }
    }

    /** Slow start: a cold server is a candidate with a probability that rises linearly to 1 during its warm-up. */
    boolean passesSlowStart(ServerState server) {
        Double startedAtMs = server.endpoint.startedAtMs();
        double slowStartMs = settings.safety().slowStartMs();
        if (startedAtMs == null || slowStartMs <= 0 || nowMs - startedAtMs >= slowStartMs) {
            return true;
        }
        double initialFraction = settings.safety().slowStartInitialShare();
        double warmFraction = initialFraction + (1 - initialFraction) * Math.max(0, nowMs - startedAtMs) / slowStartMs;
        return random.nextDouble() < warmFraction;
    }

    private void attempt(OpenRequest request) {
        List<ServerState> candidates = candidates(request);
        Optional<ServerState> picked = candidates.isEmpty() ? Optional.empty() : pick(candidates);
        boolean isFirst = request.attempts() == 0;
        if (picked.isEmpty() || isFirst && rejects(request.requestClass(), request.remainingMs(nowMs))) {
            rejectOrFail(request);
            return;
        }
        ServerState server = picked.get();
        request.attemptStarted(server.id(), nowMs);
        server.outstanding++;
        attemptStarted(server);
        actions.accept(new Send(request.id(), server.id(), NO_ATTEMPT_TIMEOUT_MS));
    }

    private List<ServerState> candidates(OpenRequest request) {
        if (!servers.mayAnyBeCold() && !request.hasAnyAttempt()) {
            return servers.available();
        }
        List<ServerState> candidates = new ArrayList<>();
        for (ServerState server : servers.available()) {
            if (!request.hasAttempted(server.id()) && passesSlowStart(server)) {
                candidates.add(server);
            }
        }
        return candidates;
    }

    private void endAttempt(AttemptEnded ended) {
        servers.find(ended.server()).ifPresent(server -> {
            server.outstanding = Math.max(0, server.outstanding - 1);
            attemptEnded(server, ended.outcome());
        });
        OpenRequest request = open.get(ended.request());
        if (request == null) {
            return;
        }
        if (ended.requestIsOver()) {
            open.remove(ended.request());
            return;
        }
        request.attemptEnded(ended.outcome());
        boolean attemptsLeft = request.attempts() < settings.limits().maxAttempts();
        if (request.mayRetry(nowMs) && attemptsLeft && request.hasTimeForAttempt(nowMs)) {
            attempt(request);
        } else {
            rejectOrFail(request);
        }
    }

    private void rejectOrFail(OpenRequest request) {
        open.remove(request.id());
        actions.accept(request.mayReject() ? new Reject(request.id(), NO_RETRY_AFTER_MS) : new Fail(request.id()));
    }
}
