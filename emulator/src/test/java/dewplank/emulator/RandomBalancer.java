package dewplank.emulator;

import dewplank.balancer.Action;
import dewplank.balancer.Action.BroadcastSummary;
import dewplank.balancer.Action.CheckHealth;
import dewplank.balancer.Action.CloseIdleConnections;
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
import dewplank.balancer.Event.HealthChecked;
import dewplank.balancer.Event.PeerSummaryReceived;
import dewplank.balancer.Event.RequestArrived;
import dewplank.balancer.Event.TimerFired;
import dewplank.balancer.Event.UpdateKind;
import dewplank.balancer.Outcome;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.function.Consumer;

/**
 * A balancer that sends each request to a random server and retries once after a rejection. It uses every action of the
 * host. Golden tests of the emulator use it instead of the real policy, so that policy changes don't affect them.
 */
final class RandomBalancer implements Balancer {
    private static final long RESUBSCRIBE = 1;
    private static final long PERIODIC = 2;
    private static final double PERIOD_MS = 300;
    private static final double ATTEMPT_TIMEOUT_MS = 250;
    private static final double RETRY_AFTER_MS = 40;

    private final SplittableRandom random;
    private final Map<String, Endpoint> endpoints = new TreeMap<>();
    private boolean isStarted;

    RandomBalancer(long seed) {
        this.random = new SplittableRandom(seed);
    }

    @Override
    public void handle(double nowMs, Event event, Consumer<Action> actions) {
        if (event instanceof EndpointUpdate update) {
            update(update, actions);
        } else if (event instanceof RequestArrived arrived) {
            send(arrived.request(), actions);
        } else if (event instanceof AttemptEnded ended && !ended.requestIsOver()) {
            if (ended.attempt() == 0 && ended.outcome() == Outcome.REJECTED) {
                send(ended.request(), actions);
            } else {
                actions.accept(
                        ended.outcome() == Outcome.REJECTED
                                ? new Reject(ended.request(), RETRY_AFTER_MS)
                                : new Action.Fail(ended.request()));
            }
        } else if (event instanceof TimerFired fired) {
            handleTimer(fired.timer(), actions);
        } else if (event instanceof HealthChecked checked && !checked.isServing()) {
            actions.accept(new CloseIdleConnections(checked.server()));
        } else if (event instanceof PeerSummaryReceived summary && random.nextInt(4) == 0) {
            pickServer().ifPresent(server -> actions.accept(new CheckHealth(server)));
            random.split(); // advances the generator, so that a lost summary changes all subsequent decisions
            random.nextInt(1 + summary.peer());
        }
    }

    private void update(EndpointUpdate update, Consumer<Action> actions) {
        if (update.kind() == UpdateKind.BROKEN) {
            actions.accept(new SetTimer(RESUBSCRIBE, PERIOD_MS));
            return;
        }
        if (update.kind() != UpdateKind.INCREMENTAL) {
            endpoints.clear();
        }
        update.endpoints().forEach(endpoint -> endpoints.put(endpoint.server(), endpoint));
        if (!isStarted) {
            isStarted = true;
            actions.accept(new Subscribe());
            actions.accept(new SetTimer(PERIODIC, PERIOD_MS));
        }
    }

    private void handleTimer(long timer, Consumer<Action> actions) {
        if (timer == RESUBSCRIBE) {
            actions.accept(new Subscribe());
            return;
        }
        pickServer().ifPresent(server -> actions.accept(new CheckHealth(server)));
        actions.accept(new BroadcastSummary(new byte[] {1, 2, 3}));
        actions.accept(new SetTimer(PERIODIC, PERIOD_MS));
    }

    private void send(long request, Consumer<Action> actions) {
        pickServer()
                .ifPresentOrElse(
                        server -> actions.accept(
                                new Send(request, server, random.nextInt(3) == 0 ? ATTEMPT_TIMEOUT_MS : 0)),
                        () -> actions.accept(new Reject(request, RETRY_AFTER_MS)));
    }

    private Optional<String> pickServer() {
        List<String> up = new ArrayList<>();
        for (Endpoint endpoint : endpoints.values()) {
            if (endpoint.availability() == Availability.UP) {
                up.add(endpoint.server());
            }
        }
        return up.isEmpty() ? Optional.empty() : Optional.of(up.get(random.nextInt(up.size())));
    }
}
