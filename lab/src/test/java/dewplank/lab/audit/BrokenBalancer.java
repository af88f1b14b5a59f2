package dewplank.lab.audit;

import dewplank.balancer.Action;
import dewplank.balancer.Action.Fail;
import dewplank.balancer.Action.Reject;
import dewplank.balancer.Action.Send;
import dewplank.balancer.Action.Subscribe;
import dewplank.balancer.Balancer;
import dewplank.balancer.Endpoint;
import dewplank.balancer.Endpoint.Availability;
import dewplank.balancer.Event;
import dewplank.balancer.Event.AttemptEnded;
import dewplank.balancer.Event.EndpointUpdate;
import dewplank.balancer.Event.RequestAbandoned;
import dewplank.balancer.Event.RequestArrived;
import dewplank.balancer.Outcome;
import dewplank.balancer.Settings;
import dewplank.balancer.Settings.Idempotency;
import dewplank.balancer.Settings.RequestClass;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.function.Consumer;

/** A random balancer that complies with the rules except for one defect. */
final class BrokenBalancer implements Balancer {
    /** The defects; each violates a rule. */
    enum Defect {
        NONE,
        NEVER_RESPONDS,
        RESENDS_UNSAFE,
        REJECTS_AFTER_RUN,
        RETRIES_KEYED_AFTER_WINDOW,
        SENDS_TO_DRAINING,
        OVERLOADS_COLD
    }

    private static final int MAX_ATTEMPTS = 3;
    private static final int OMITTED_RESPONSE_INTERVAL = 50;

    private final Settings settings;
    private final Defect defect;
    private final SplittableRandom random;
    private final Map<String, Endpoint> endpoints = new HashMap<>();
    private final Map<Long, RequestArrived> openRequests = new HashMap<>();
    private final Map<Long, Integer> attempts = new HashMap<>();
    private Consumer<Action> actions;
    private double nowMs;
    private int arrivals;
    private boolean hasSubscribed;

    BrokenBalancer(Settings settings, long seed, Defect defect) {
        this.settings = settings;
        this.defect = defect;
        this.random = new SplittableRandom(seed);
    }

    @Override
    public void handle(double timeMs, Event event, Consumer<Action> sink) {
        nowMs = timeMs;
        actions = sink;
        if (event instanceof EndpointUpdate update) {
            update.endpoints().forEach(endpoint -> endpoints.put(endpoint.server(), endpoint));
            if (!hasSubscribed) {
                hasSubscribed = true;
                actions.accept(new Subscribe());
            }
        } else if (event instanceof RequestArrived request) {
            if (defect != Defect.NEVER_RESPONDS || ++arrivals % OMITTED_RESPONSE_INTERVAL != 0) {
                openRequests.put(request.request(), request);
                send(request);
            }
        } else if (event instanceof RequestAbandoned abandoned) {
            openRequests.remove(abandoned.request());
        } else if (event instanceof AttemptEnded ended) {
            endAttempt(ended);
        }
    }

    private void send(RequestArrived request) {
        List<Endpoint> candidates = candidates();
        if (candidates.isEmpty()) {
            openRequests.remove(request.request());
            actions.accept(new Reject(request.request(), 0));
            return;
        }
        attempts.merge(request.request(), 1, Integer::sum);
        Endpoint picked = candidates.get(random.nextInt(candidates.size()));
        actions.accept(new Send(request.request(), picked.server(), 0));
    }

    private List<Endpoint> candidates() {
        List<Endpoint> candidates = new ArrayList<>();
        for (Endpoint endpoint : endpoints.values().stream()
                .sorted(Comparator.comparing(Endpoint::server))
                .toList()) {
            boolean isEligible = endpoint.availability() == Availability.UP
                    || defect == Defect.SENDS_TO_DRAINING && endpoint.availability() == Availability.DRAINING;
            boolean isCold = endpoint.startedAtMs() != null
                    && nowMs - endpoint.startedAtMs() < settings.safety().slowStartMs();
            if (defect == Defect.OVERLOADS_COLD && isCold && isEligible) {
                return List.of(endpoint);
            }
            if (isEligible && !isCold) {
                candidates.add(endpoint);
            }
        }
        return candidates;
    }

    private void endAttempt(AttemptEnded ended) {
        RequestArrived request = openRequests.get(ended.request());
        if (request == null || ended.requestIsOver()) {
            openRequests.remove(ended.request());
            return;
        }
        int attemptsSoFar = attempts.get(ended.request());
        if (mayRetry(request, ended.outcome(), attemptsSoFar) && attemptsSoFar < MAX_ATTEMPTS) {
            send(request);
            return;
        }
        openRequests.remove(ended.request());
        boolean neverRan = attemptsSoFar == 1
                && (ended.outcome() == Outcome.REJECTED || ended.outcome() == Outcome.CONNECT_FAILED);
        actions.accept(
                defect == Defect.REJECTS_AFTER_RUN || neverRan
                        ? new Reject(ended.request(), 0)
                        : new Fail(ended.request()));
    }

    private boolean mayRetry(RequestArrived request, Outcome outcome, int attemptsSoFar) {
        Idempotency idempotency = settings.classes().stream()
                .filter(requestClass -> requestClass.name().equals(request.requestClass()))
                .findFirst()
                .map(RequestClass::idempotency)
                .orElseThrow();
        return idempotency == Idempotency.SAFE
                || outcome == Outcome.REJECTED && attemptsSoFar == 1
                || defect == Defect.RESENDS_UNSAFE && idempotency == Idempotency.UNSAFE && outcome == Outcome.RESET
                || defect == Defect.RETRIES_KEYED_AFTER_WINDOW && idempotency == Idempotency.KEYED;
    }
}
