package dewplank.balancer.adaptive;

import dewplank.balancer.Action;
import dewplank.balancer.Balancer;
import dewplank.balancer.Event;
import dewplank.balancer.Event.AttemptEnded;
import dewplank.balancer.Event.EndpointUpdate;
import dewplank.balancer.Event.HealthChecked;
import dewplank.balancer.Event.PeerSummaryReceived;
import dewplank.balancer.Event.RequestAbandoned;
import dewplank.balancer.Event.RequestArrived;
import dewplank.balancer.Event.StreamStarted;
import dewplank.balancer.Event.TimerFired;
import dewplank.balancer.Event.UpdateKind;
import dewplank.balancer.Settings;
import java.util.function.Consumer;
import java.util.random.RandomGenerator;

/**
 * The production balancer: it estimates the performance of servers from the outcomes of its own requests,
 * and adapts its decisions to it. This class creates the decision classes, connects them, and passes each
 * event to the class that handles it.
 *
 * <p>As for every {@link Balancer}, all calls come from the host's single thread. The decision classes share
 * their state ({@link ServerState}, {@link PendingRequest}, {@link FleetStats}) within the package.
 */
public final class AdaptiveBalancer implements Balancer {
    private final Settings settings;
    private final Step step = new Step();
    private final RequestTable requests = new RequestTable();
    private final EndpointTable endpoints;
    private final EndpointSubscription subscription;
    private final PeerExchange peers;
    private final WorkingSet workingSet;
    private final EjectionTrials trials;
    private final RequestCompletion completion;
    private final HedgingPolicy hedging;
    private final AttemptTracker tracker;
    private final Admission admission;
    private boolean hasList;

    /**
     * Creates a balancer without any servers.
     *
     * @param settings the settings of this instance; not null
     * @param random the only source of randomness: equal seeds and equal events give equal actions
     */
    public AdaptiveBalancer(Settings settings, RandomGenerator random) {
        this.settings = settings;
        FleetStats fleet = new FleetStats();
        endpoints = new EndpointTable(settings, fleet);
        subscription = new EndpointSubscription(settings, step, random);
        peers = new PeerExchange(settings, step, endpoints, random);
        workingSet = new WorkingSet(settings, step, endpoints, peers);
        trials = new EjectionTrials(settings, step, endpoints, workingSet);
        SlowStartBudget slowStart = new SlowStartBudget(settings, step, random);
        LatencyEstimates latency = new LatencyEstimates(settings, step, fleet, slowStart);
        OutcomeMonitor outcomes = new OutcomeMonitor(step, latency, workingSet);
        AttemptRules rules = new AttemptRules(settings, step, endpoints);
        ServerBackoff backoff = new ServerBackoff(step, random);
        RetryBudget retries = new RetryBudget(settings);
        ValueModel values = new ValueModel(settings, step, random);
        LoadShedder shedder = new LoadShedder(settings, step, fleet, latency);
        PlacementCost cost = new PlacementCost(settings, step, latency, shedder, values);
        EligibleServers eligible = new EligibleServers(step, rules, workingSet, backoff, slowStart, latency);
        ServerPicker picker = new ServerPicker(
                settings,
                workingSet,
                trials,
                eligible,
                new TwoChoices(settings, fleet, slowStart, latency, cost, random),
                latency,
                cost);
        Consumer<Attempt> overdue = this::onOverdue;
        AttemptScheduler scheduler =
                new AttemptScheduler(settings, step, rules, retries, slowStart, latency, workingSet, overdue);
        completion = new RequestCompletion(settings, step, fleet, requests, rules, latency, random);
        hedging = new HedgingPolicy(settings, step, outcomes, latency, retries, picker, shedder, scheduler);
        tracker = new AttemptTracker(
                requests,
                new OutcomeRecorder(settings, step, outcomes, latency, backoff),
                new RetryPolicy(settings, step, retries, picker, scheduler, completion),
                completion);
        WaitingRequests waiting = new WaitingRequests(
                step, fleet, subscription, endpoints, rules, latency, picker, scheduler, completion);
        ArrivalRecorder arrivals = new ArrivalRecorder(requests, values, retries, trials, workingSet);
        OverloadCheck overload = new OverloadCheck(picker, latency, shedder);
        admission = new Admission(arrivals, picker, trials, overload, scheduler, waiting, completion);
    }

    @Override
    public void handle(double nowMs, Event event, Consumer<Action> actions) {
        step.begin(nowMs, actions);
        if (event instanceof EndpointUpdate update) {
            onEndpointUpdate(update);
        } else if (event instanceof RequestArrived arrived) {
            admission.onArrival(arrived);
        } else if (event instanceof StreamStarted started) {
            tracker.onStreamStarted(started);
        } else if (event instanceof AttemptEnded ended) {
            tracker.onEnded(ended);
        } else if (event instanceof RequestAbandoned abandoned) {
            completion.complete(requests.find(abandoned.request()));
        } else if (event instanceof TimerFired fired) {
            step.fire(fired.timer());
        } else if (event instanceof HealthChecked checked) {
            trials.onHealthChecked(checked);
        } else if (event instanceof PeerSummaryReceived received) {
            peers.receive(received);
        }
    }

    private void onEndpointUpdate(EndpointUpdate update) {
        workingSet.requestReview();
        if (update.kind() == UpdateKind.BROKEN) {
            subscription.onBroken();
            return;
        }
        endpoints.apply(update);
        if (update.kind() != UpdateKind.CACHED) {
            subscription.onUpdate();
        }
        if (!hasList) {
            hasList = true;
            subscription.subscribe();
            if (settings.limits().exchangesPeerSummaries()) {
                peers.start();
            }
        }
    }

    private void onOverdue(Attempt attempt) {
        hedging.onOverdue(attempt);
    }

    /** The number of servers in the table, including removed servers with attempts in flight. */
    int serverCount() {
        return endpoints.servers().size();
    }

    /** Whether the server was ejected at the last review; the server must be in the table. */
    boolean isEjected(String server) {
        return endpoints.find(server).isEjected;
    }
}
