package dewplank.balancer.adaptive;

import dewplank.balancer.Action;
import dewplank.balancer.Endpoint;
import dewplank.balancer.Event;
import dewplank.balancer.Outcome;
import dewplank.balancer.Settings;
import dewplank.balancer.WeightedDraw;

import dewplank.balancer.Balancer;

import dewplank.balancer.health.PeerSummary;
import dewplank.balancer.health.PeerVotes;
import dewplank.balancer.health.ServerHealth;
import dewplank.balancer.Action.BroadcastSummary;
import dewplank.balancer.Action.Cancel;
import dewplank.balancer.Action.CheckHealth;
import dewplank.balancer.Action.CloseIdleConnections;
import dewplank.balancer.Action.Fail;
import dewplank.balancer.Action.Reject;
import dewplank.balancer.Action.Send;
import dewplank.balancer.Action.SetTimer;
import dewplank.balancer.Action.Subscribe;
import dewplank.balancer.Endpoint.Availability;
import dewplank.balancer.Event.AttemptEnded;
import dewplank.balancer.Event.EndpointUpdate;
import dewplank.balancer.Event.HealthChecked;
import dewplank.balancer.Event.PeerSummaryReceived;
import dewplank.balancer.Event.RequestAbandoned;
import dewplank.balancer.Event.RequestArrived;
import dewplank.balancer.Event.StreamStarted;
import dewplank.balancer.Event.TimerFired;
import dewplank.balancer.Event.UpdateKind;
import dewplank.balancer.Settings.DeduplicationScope;
import dewplank.balancer.Settings.Goal;
import dewplank.balancer.Settings.Idempotency;
import dewplank.balancer.Settings.RequestClass;
import dewplank.balancer.Settings.Tenant;
import java.util.ArrayList;
import java.util.Collections;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;
import java.util.function.Predicate;
import java.util.random.RandomGenerator;
import dewplank.balancer.adaptive.Memory.*;

/**
 * All decisions of one sidecar; the types, events and actions are those of {@link Balancer}. Every send
 * passes {@link #maySend} and every refusal {@link #mayRefuse}.
 */
public final class AdaptiveBalancer implements Balancer {

    // The list, trials and peers
    private static final double ASK_BACKOFF_MS = 500;    // after a failed call; doubles, with jitter
    private static final double TRIAL_EVERY_MS = 1_000;  // pace of trials, as the design has it
    private static final double PROBE_FRESH_MS = 5_000;  // a failed probe defers trials so long
    private static final double TELL_EVERY_MS = 1_000;   // pace of summaries to peers
    private static final double TRIAL_SHARE = 0.1;       // trials per own request, lest all be trials
    // Working set
    private static final double SET_LEAST = 2;           // servers at home, half away, with thin traffic
    private static final double SET_CONNECTIONS = 20;    // of all sidecars, that any server bears with ease
    private static final double SET_VISIT_MS = 300;      // own traffic widens the set by one each so often
    private static final double SET_CLOSE_MS = 5_000;    // a connection outside the set is closed after this
    private static final double SET_RATE_TAU_MS = 5_000; // averaging time of own traffic
    private static final double REVIEW_MS = 250;         // verdicts and set stand so long by themselves
    // Attempts
    private static final double RETRY_SHARE = 0.2;       // further attempts per first try: the retry budget
    private static final double RETRY_BURST = 10;        // further attempts that may be saved up
    private static final int RISKY_ATTEMPTS = 2;         // attempts that may have run: stops a poison request
    private static final double FULL_PAUSE_MS = 40;      // rest of one that turned work away
    private static final double CONNECT_PAUSE_MS = 250;  // rest of one that let no connection in
    private static final double REST_GROWS = 4;          // with each such answer in a row, up to
    private static final double REST_MOST_MS = 4_000;    // this: one that only turns away is no server
    // Admission
    private static final double SHED_FROM = 0.4;         // predicted time over aim that starts shedding
    private static final double SHED_ALL = 0.9;          // and at which all that may be refused is refused
    // A server takes twice its idle time once as much waits there as runs: holding more brings no more
    // answers, only later ones, and crowds it for long. A fleet so slow sheds early, by averaged lateness.
    private static final double SLOWER_FROM = 1;         // fleet's time over its idle time: sheds from here
    private static final double SLOWER_ALL = 2;          // and here in full, as far as lateness calls for it
    private static final double EARLY_FROM = 0.06;       // averaged part of the room in queues: starts it
    private static final double EARLY_ALL = 0.35;        // and has it refuse its most: one in ten is late
    private static final double PRESSURE_STEP = 0.05;    // the fleet's lateness is averaged over 20 requests
    private static final double SHORTAGE_FROM = 0.09;    // that part taken to last; 0.12 does worse
    private static final double SHORTAGE_TAU_MS = 1_000; // lateness that lasts is answered at this time scale
    private static final double SHORTAGE_GAP_MS = 100;   // a silence counts for no more than this
    private static final double SHORTAGE_MOST = 0.7;     // of traffic that lasting lateness alone refuses
    private static final double HOLD_STEP_MS = 20;       // a held request looks again so often
    private static final double TENANT_TAU_MS = 5_000;   // averaging time of tenants' rates
    private static final double FIRST_GUESS = 0.15;      // of the aim: a class's time before any is known

    private final Settings cfg;
    private final RandomGenerator random;
    private final double strictness;   // where the goal has a tail, an early refusal beats a late answer
    private final Fleet fleet = new Fleet();
    private final Demand demand = new Demand();
    private final Sets sets = new Sets();
    private final SlowStartBudget cold;
    private final LatencyEstimates speeds;
    final Map<String, Server> servers = new LinkedHashMap<>();
    private final Map<Long, Request> requests = new HashMap<>();
    private final Map<Long, Runnable> timers = new HashMap<>();
    private final PeerVotes<Integer> peers = new PeerVotes<>();
    private long nextTimer;
    private Consumer<Action> out;

    private boolean started;
    private boolean asking;
    private double askWait = ASK_BACKOFF_MS;
    private double retryTokens = RETRY_BURST;
    private List<Server> fitting = List.of();
    private double reviewAt = Double.NEGATIVE_INFINITY;
    private double trialTokens;
    private final Rate ownRate = new Rate(SET_RATE_TAU_MS);

    public AdaptiveBalancer(Settings settings, RandomGenerator random) {
        this.cfg = settings;
        this.random = random;
        this.cold = new SlowStartBudget(settings, fleet, new Rate(SlowStartBudget.RATE_TAU_MS), random);
        this.speeds = new LatencyEstimates(settings, fleet, cold);
        Goal goal = settings.goal();
        this.strictness = 1 - goal.tail() / Math.max(1e-9, goal.all() + goal.worstClass() + goal.tail());
        settings.classes()
            .forEach(c -> demand.kinds.put(c.name(), new Kind(c, c.latencyTargetMs() * FIRST_GUESS)));
        settings.tenants().forEach(t -> demand.accounts.put(t.name(), new Account(t, TENANT_TAU_MS)));
    }

    @Override
    public void handle(double time, Event event, Consumer<Action> actions) {
        fleet.now = time;
        out = actions;
        if (event instanceof EndpointUpdate e) {
            onList(e);
        } else if (event instanceof RequestArrived e) {
            onArrival(e);
        } else if (event instanceof StreamStarted e) {
            onStream(e);
        } else if (event instanceof AttemptEnded e) {
            onEnded(e);
        } else if (event instanceof RequestAbandoned e) {
            close(requests.get(e.request()));
        } else if (event instanceof TimerFired e) {
            Optional.ofNullable(timers.remove(e.timer())).ifPresent(Runnable::run);
        } else if (event instanceof HealthChecked e) {
            onProbe(e);
        } else if (event instanceof PeerSummaryReceived e) {
            onPeer(e);
        }
    }

    private void after(double ms, Runnable task) {
        timers.put(++nextTimer, task);
        out.accept(new SetTimer(nextTimer, ms));
    }

    // ---- the list of servers --------------------------------------------------------------------------

    private void onList(EndpointUpdate news) {
        reviewAt = fleet.now;
        if (news.kind() == UpdateKind.BROKEN) {
            asking = false;
            double wait = askWait * (0.5 + random.nextDouble());
            askWait = Math.min(askWait * 2, cfg.safety().maxSubscribeDelayMs() / 2);
            after(wait, this::ask);
            return;
        }
        if (news.kind() != UpdateKind.INCREMENTAL) {
            servers.values().forEach(s -> s.gone = true);
        }
        news.endpoints().forEach(this::learn);
        servers.values().removeIf(s -> s.gone && !listed(s) && s.outstanding.isEmpty());   // lest they add up
        if (news.kind() != UpdateKind.CACHED) {
            asking = false;
            askWait = ASK_BACKOFF_MS;
        }
        if (!started) {
            started = true;
            ask();
            if (cfg.limits().exchangesPeerSummaries()) {
                after(TELL_EVERY_MS * random.nextDouble(), this::tellPeers);
            }
        }
    }

    private void learn(Endpoint e) {
        Server s = servers.computeIfAbsent(e.server(), id -> new Server(id, spread(id)));
        boolean restarted = s.entry != null && e.startedAtMs() != null
            && !e.startedAtMs().equals(s.entry.startedAtMs());
        if (restarted) {   // a new process: what was seen of the old one says nothing of it
            s.health.reset();
            s.doubts = 0;
            s.restUntil = 0;
            s.sawDraining = false;
        }
        s.entry = e;
        s.home = e.zone().equals(cfg.zone());
        s.zone = fleet.zones.computeIfAbsent(e.zone(), z -> new Zone());
        s.gone = e.availability() == Availability.REMOVED;
        s.sawDraining = s.gone ? s.sawDraining : e.availability() == Availability.DRAINING;
    }

    private void ask() {
        if (!cfg.endpointListIsPushed() && !asking) {
            asking = true;
            out.accept(new Subscribe());
        }
    }

    /** Drains are kept from the moment of being told; one only gone stays in use where the rules say so. */
    private boolean listed(Server s) {
        return !s.sawDraining && (!s.gone || cfg.safety().onlyDrainingIsBinding());
    }

    // ---- observations and verdicts --------------------------------------------------------------------

    private void observe(Server s, String context, boolean healthy) {
        s.health.observe(fleet.now, context, healthy);
        if (healthy) {
            s.doubts = 0;
            s.rest = 0;
        }
        if (!healthy || s.condemned) {
            reviewAt = fleet.now;   // the verdict may turn
        }
    }

    /** An unhealthy outcome, or the lack of one in time: an observation, and a doubt from its send on. */
    private void suspect(Attempt a, boolean stuck) {
        Server s = a.server;
        double since = stuck ? a.sentAt : Double.POSITIVE_INFINITY;   // an error took the time that it took
        s.doubtSince = speeds.doubted(s) ? Math.min(s.doubtSince, since) : since;
        s.doubts++;
        s.lastDoubt = fleet.now;
        observe(s, a.request.kind.rules.name(), false);
    }

    private void tellPeers() {
        List<Integer> unhealthy = servers.values().stream()
            .filter(s -> listed(s) && s.health.isUnhealthy(fleet.now)).map(s -> s.id.hashCode()).toList();
        out.accept(new BroadcastSummary(new PeerSummary(fleet.now, unhealthy).encode()));
        after(TELL_EVERY_MS, this::tellPeers);
    }

    private void onPeer(PeerSummaryReceived e) {
        PeerSummary said = PeerSummary.decode(e.bytes());
        if (said != null && e.peer() >= 0 && e.peer() < cfg.replicaCount()) {
            peers.receive(fleet.now, e.peer(), said);
        }
    }

    private void onProbe(HealthChecked e) {
        Server s = servers.get(e.server());
        if (s != null) {
            s.probeServed = e.isServing();
        }
    }

    // ---- the draw -------------------------------------------------------------------------------------

    /** A number that orders the servers, otherwise for each sidecar: it spreads the working sets evenly. */
    private long spread(String id) {
        return mix(id.hashCode() + 0x9E3779B97F4A7C15L * (cfg.replicaIndex() + 1));
    }

    private static long mix(long value) {
        long mixed = value * 0xBF58476D1CE4E5B9L;
        mixed = (mixed ^ mixed >>> 29) * 0x94D049BB133111EBL;
        return mixed ^ mixed >>> 32;
    }

    /**
     * Verdicts, and the working set: the first few servers of each zone, in an order of this sidecar's own.
     * If all sidecars met all servers, windows would not fill, connections go cold and tables overflow.
     */
    private void review() {
        if (fleet.now < reviewAt) {
            return;
        }
        reviewAt = fleet.now + REVIEW_MS;
        List.of(sets.ready, sets.free, sets.held, sets.working).forEach(List::clear);
        for (Server s : servers.values()) {
            if (listed(s)) {
                s.condemned = peers.isUnhealthy(fleet.now, s.id, s.health.isUnhealthy(fleet.now));
                s.inSet = false;
                if (!s.gone || !s.condemned) {   // one gone and failing does not count for the floor
                    sets.ready.add(s);
                }
                (s.condemned ? sets.held : sets.free).add(s);
            }
        }
        List<Server> drawable = new ArrayList<>(halfFree() ? sets.free : sets.ready);
        drawable.sort(Comparator.comparingLong(s -> s.order));
        long zoneCount = sets.ready.stream().map(s -> s.entry.zone()).distinct().count();
        double size = SET_CONNECTIONS * sets.ready.size() / Math.max(1, cfg.replicaCount())
            + ownRate.at(fleet.now) * SET_VISIT_MS;
        double home = Math.max(SET_LEAST, 2 * size / (zoneCount + 1));
        Map<String, Integer> taken = new HashMap<>();
        for (Server s : drawable) {
            if (taken.merge(s.entry.zone(), 1, Integer::sum) <= (s.home ? home : home / 2)) {
                sets.working.add(s);
                s.inSet = true;
            } else if (s.connections > 0 && s.outstanding.isEmpty() && fleet.now - s.lastUse > SET_CLOSE_MS) {
                s.connections = 0;   // a full table slows its server, and keeps others out
                out.accept(new CloseIdleConnections(s.id));
            }
        }
    }

    /** While fewer are free of a verdict, verdicts bind nobody. */
    private boolean halfFree() {
        return 2 * sets.free.size() >= sets.ready.size();
    }

    /** The server for the request's next attempt, or null; all that were fit stay in {@link #fitting}. */
    private Server pick(Request r) {
        review();
        Predicate<Server> fits = s -> maySend(r, s) && fleet.now >= s.restUntil && cold.allows(s, r);
        if (r.attempts.isEmpty() && r.kind.rules.idempotency() == Idempotency.SAFE && halfFree()
            && trialTokens >= 1) {
            for (Server s : sets.held) {
                if (trialDue(s) && fits.test(s)) {
                    s.lastTrial = fleet.now;
                    trialTokens--;
                    fitting = List.of(s);
                    return s;
                }
            }
        }
        fitting = keep(sets.working, fits);
        for (List<Server> wider : List.of(sets.free, sets.ready)) {
            fitting = fitting.isEmpty() ? keep(wider, fits) : fitting;
        }
        fitting = prefer(fitting, s -> r.attempts.stream().noneMatch(a -> a.server == s));
        if (r.kind.rules.idempotency() == Idempotency.UNSAFE) {   // no retry: only where the latest was good
            fitting = prefer(fitting, s -> !speeds.doubted(s) && s.health.hasRecentSuccess(fleet.now));
        }
        r.keyServer = r.key == null || !cfg.serversCacheKeys() ? null : keyServer(r.key);
        Server home = pickTwo(keep(fitting, s -> s.home), r);
        Server away = pickTwo(keep(fitting, s -> !s.home), r);
        if (home == null || away == null) {
            return home == null ? away : home;
        }
        return risk(home, r) <= risk(away, r) ? home : away;
    }

    /**
     * The key's server by rendezvous hashing (Thaler and Ravishankar, 1998): all sidecars agree on it without
     * a word, and only the keys of a server that comes or goes change theirs. It is likely to know the key.
     */
    private Server keyServer(String key) {
        Comparator<Server> order = Comparator.comparingLong(s -> mix(s.id.hashCode() * 31L + key.hashCode()));
        return fitting.isEmpty() ? null : Collections.max(fitting, order);
    }

    private boolean trialDue(Server s) {
        if (fleet.now - s.lastTrial < TRIAL_EVERY_MS) {
            return false;
        }
        if (cfg.limits().allowsHealthChecks() && fleet.now - s.lastProbe >= TRIAL_EVERY_MS) {
            s.lastProbe = fleet.now;
            out.accept(new CheckHealth(s.id));
        }
        return s.probeServed || fleet.now - s.lastTrial > PROBE_FRESH_MS;
    }

    private static List<Server> keep(List<Server> from, Predicate<Server> test) {
        return from.stream().filter(test).toList();
    }

    private static List<Server> prefer(List<Server> from, Predicate<Server> test) {
        List<Server> kept = keep(from, test);
        return kept.isEmpty() ? from : kept;
    }

    /** Of two by weight, a key's server always one: that with fewer in flight, or of lesser risk. */
    private Server pickTwo(List<Server> from, Request r) {
        if (from.isEmpty()) {
            return null;
        }
        Server a = from.contains(r.keyServer) ? r.keyServer
            : WeightedDraw.draw(from, null, this::drawWeight, random);
        if (from.size() == 1) {
            return a;
        }
        Server b = WeightedDraw.draw(from, a, this::drawWeight, random);
        int more = speeds.load(a) - speeds.load(b);
        boolean first = more == 0 ? risk(a, r) <= risk(b, r) : more < 0;
        return first ? a : b;
    }

    private double drawWeight(Server s) {
        double rated = cfg.serversAreRated() ? Math.max(s.entry.rating(), ServerHealth.WEIGHT_FLOOR) : 1;
        double reach = speeds.connects(s) ? Math.max(ServerHealth.WEIGHT_FLOOR, 1 - fleet.connectFailing) : 1;
        return s.health.weight() * rated * reach * cold.likely(s);
    }

    // ---- attempts -------------------------------------------------------------------------------------

    /** The one test before every send: membership, attempt cap, copies, and that no effect happens twice. */
    private boolean maySend(Request r, Server s) {
        if (r.over || r.streaming || !listed(s) || r.attempts.size() >= cfg.limits().maxAttempts()) {
            return false;
        }
        for (Attempt a : r.attempts) {
            boolean copy = a.state == State.OUT && !cfg.limits().allowsHedging();
            if (copy || a.state != State.NEVER_RAN && !mayRepeat(a, s)) {
                return false;
            }
        }
        return true;
    }

    /** Whether what may have run there can be sent to this server without a second effect. */
    private boolean mayRepeat(Attempt a, Server s) {
        RequestClass c = a.request.kind.rules;
        boolean sameGroup = switch (c.deduplicationScope()) {
            case ALL -> true;
            case ZONE -> a.zone.equals(s.entry.zone());
            case CELL -> a.cell == s.entry.cell();
        };
        boolean dropped = sameGroup && fleet.now - a.sentAt <= c.deduplicationWindowMs() - cfg.tickMs();
        return c.idempotency() == Idempotency.SAFE || c.idempotency() == Idempotency.KEYED && dropped;
    }

    /**
     * How long an attempt may wait for its connection: servers drop a repeat only for so long after the first
     * that may have run. Each keyed attempt is bound, since a copy sent later may be written before it.
     */
    private double writeWithin(Request r) {
        RequestClass c = r.kind.rules;
        double memory = c.idempotency() == Idempotency.KEYED ? c.deduplicationWindowMs() - cfg.tickMs() : 0;
        return r.attempts.stream().filter(a -> memory > 0 && a.state != State.NEVER_RAN)
            .mapToDouble(a -> a.sentAt + memory - fleet.now).min().orElse(Double.POSITIVE_INFINITY);
    }

    /** The one test before every refusal: a refusal promises that trying again is harmless. */
    private boolean mayRefuse(Request r) {
        RequestClass c = r.kind.rules;
        boolean keyedAnywhere = c.idempotency() == Idempotency.KEYED
            && c.deduplicationScope() == DeduplicationScope.ALL;
        boolean repeatable = c.idempotency() == Idempotency.SAFE || keyedAnywhere;
        return repeatable || r.attempts.stream().allMatch(a -> a.state == State.NEVER_RAN);
    }

    private void send(Request r, Server s) {
        retryTokens -= r.attempts.isEmpty() ? 0 : 1;
        Attempt a = new Attempt(r, s, fleet.now, speeds.load(s), speeds.connects(s));
        r.attempts.add(a);
        s.outstanding.add(a);
        s.connections += a.connects ? 1 : 0;
        cold.countSend(s, r.work(), sets.working);
        double overdueIn = speeds.overdueAfter(r, s);
        boolean timed = !cfg.limits().allowsCancellation() && !cfg.limits().allowsHedging()
            && r.kind.rules.idempotency() != Idempotency.UNSAFE && speeds.doubted(s);   // else long
        out.accept(new Send(r.id, s.id, timed ? overdueIn : 0, writeWithin(r)));
        if (overdueIn < r.giveUp - fleet.now) {
            after(overdueIn, () -> onOverdue(a));
        }
    }

    /** An attempt pending past the fleet's usual time is an unhealthy observation before any time-out. */
    private void onOverdue(Attempt a) {
        Request r = a.request;
        if (a.state != State.OUT || r.streaming) {
            return;
        }
        a.overdue = true;
        a.overdueAt = fleet.now;
        boolean doubt = speeds.doubted(a.server);
        suspect(a, true);
        double more = Math.max(0, fleet.now - a.sentAt - a.server.zone.least);
        a.server.zone.least += more * LatencyEstimates.WAY_STEP;
        if (r.over || fleet.now >= r.aimAt() || !mayTryAgain(r)) {
            return;
        }
        if (cfg.limits().allowsHedging()) {
            Server s = pick(r);
            if (s != null && s != a.server && shed(r, s) <= 0) {   // into a crowd a copy only adds work
                send(r, s);
            }
        } else if (doubt && cfg.limits().allowsCancellation()
            && r.kind.rules.idempotency() != Idempotency.UNSAFE) {
            out.accept(new Cancel(r.id, a.number));   // the outcome decides on the next attempt
        }
    }

    private boolean mayTryAgain(Request r) {
        long risky = r.attempts.stream().filter(a -> a.state != State.NEVER_RAN).count();
        return retryTokens >= 1 && risky < RISKY_ATTEMPTS && r.attempts.size() < cfg.limits().maxAttempts();
    }

    private void onStream(StreamStarted e) {
        Request r = requests.get(e.request());
        if (r == null || e.attempt() >= r.attempts.size()) {
            return;
        }
        r.streaming = true;
        Attempt a = r.attempts.get(e.attempt());
        speeds.learnTime(a, e.elapsedMs());
        observe(a.server, r.kind.rules.name(), true);
        cancelOthers(r, a);
    }

    private void onEnded(AttemptEnded e) {
        Request r = requests.get(e.request());
        if (r == null || e.attempt() >= r.attempts.size()) {
            return;
        }
        Attempt a = r.attempts.get(e.attempt());
        a.server.outstanding.remove(a);
        a.server.lastUse = fleet.now;
        if (a.connects && e.outcome() != Outcome.CANCELLED && e.outcome() != Outcome.NEVER_SENT) {
            double failed = e.outcome() == Outcome.CONNECT_FAILED ? 1 : 0;
            fleet.connectFailing += (failed - fleet.connectFailing) * LatencyEstimates.CONNECT_STEP;
        }
        a.state = switch (e.outcome()) {
            case REJECTED -> cfg.safety().rejectedMayHaveRun() ? State.MAY_HAVE_RUN : State.NEVER_RAN;
            case CONNECT_FAILED, NEVER_SENT -> State.NEVER_RAN;
            default -> State.MAY_HAVE_RUN;
        };
        judge(a, e);
        if (e.requestIsOver()) {
            close(r);
        }
        if (!r.over && !r.streaming && !r.anyOut()) {
            goOn(r, e.outcome());
        }
        if (r.over && !r.anyOut()) {
            requests.remove(r.id);
        }
    }

    private void judge(Attempt a, AttemptEnded e) {
        Server s = a.server;
        switch (e.outcome()) {
            case SERVED -> {
                s.lastServedSentAt = Math.max(s.lastServedSentAt, a.sentAt);
                if (!a.request.streaming) {
                    speeds.learnTime(a, e.elapsedMs());
                }
                Kind kind = a.request.kind;
                boolean inTime = fleet.now <= a.request.aimAt();
                kind.worthServed += a.request.worth * (inTime ? 1 : kind.rules.lateValue());
                if (!a.overdue) {
                    observe(s, kind.rules.name(), true);
                } else {
                    s.doubts = 0;   // alive, but its lateness stands as observed
                    s.health.recordLateSuccess(fleet.now);
                }
            }
            case ERROR, RESET -> suspect(a, false);
            case TIMED_OUT -> {
                if (!a.overdue) {
                    suspect(a, true);
                }
                speeds.learnLate(a, e.elapsedMs());
            }
            case CONNECT_FAILED -> {
                // A server that answers on its open connections has a full table; else it may be dead.
                s.connections = s.outstanding.isEmpty() ? 0 : s.connections;
                if (fleet.now - s.health.lastSuccessAtMs() > 2 * cfg.limits().connectTimeoutMs()) {
                    suspect(a, true);
                }
                restServer(s, a, CONNECT_PAUSE_MS);
            }
            case REJECTED -> restServer(s, a, FULL_PAUSE_MS);
            case CANCELLED, NEVER_SENT -> { }
        }
    }

    /** Answers to what was sent before a rest began say no more than the one that began it. */
    private void restServer(Server s, Attempt a, double least) {
        if (a.sentAt >= s.restFrom) {
            s.restFrom = fleet.now;
            s.rest = Math.max(s.rest, least);
            s.restUntil = fleet.now + s.rest * (0.5 + random.nextDouble());
            s.rest = Math.min(s.rest * REST_GROWS, REST_MOST_MS);
        }
    }

    /** No attempt is out and the request is not over: another attempt, or the final answer at once. */
    private void goOn(Request r, Outcome last) {
        boolean again = fleet.now + cfg.tickMs() < r.giveUp && last != Outcome.NEVER_SENT && mayTryAgain(r);
        Server s = again ? pick(r) : null;
        if (s != null) {
            send(r, s);
        } else {
            giveUp(r);
        }
    }

    private void giveUp(Request r) {
        if (mayRefuse(r)) {
            double usual = fleet.slowness * speeds.cost(r);
            double wait = cfg.limits().allowsRetryAdvice() ? usual * (1 + random.nextDouble()) : 0;
            out.accept(new Reject(r.id, Math.min(cfg.limits().maxRetryAdviceMs(), wait)));
        } else {
            out.accept(new Fail(r.id));
        }
        close(r);
    }

    private void close(Request r) {
        if (r == null || r.over) {
            return;
        }
        r.over = true;
        if (!r.streaming) {   // a begun stream is the client's
            cancelOthers(r, null);
        }
        if (!r.anyOut()) {
            requests.remove(r.id);
        }
    }

    private void cancelOthers(Request r, Attempt but) {
        for (Attempt a : r.attempts) {
            if (a.state == State.OUT && a != but && cfg.limits().allowsCancellation()) {
                out.accept(new Cancel(r.id, a.number));
            }
        }
    }

    // ---- admission ------------------------------------------------------------------------------------

    private void onArrival(RequestArrived e) {
        Kind kind = demand.kinds.get(e.requestClass());
        if (kind == null) {
            throw new IllegalArgumentException("unknown class " + e.requestClass());
        }
        if (e.costMs() != null) {
            kind.work.follow(e.costMs(), LatencyEstimates.FLEET_STEP);
        }
        double work = e.costMs() == null ? kind.work.value : e.costMs();
        double worth = kind.rules.value() * (cfg.valueIsPerWork() ? work : 1) * withinShare(e.tenant());
        kind.worthAsked += worth;
        Request r = new Request(e, kind, fleet.now, worth, worth * goalWeight(kind) / Math.max(work, 1e-3));
        double step = demand.meanWorth == 0 ? 1 : LatencyEstimates.FLEET_STEP;
        demand.meanWorth += (worth - demand.meanWorth) * step;
        retryTokens = Math.min(RETRY_BURST, retryTokens + RETRY_SHARE);
        trialTokens = Math.min(1, trialTokens + TRIAL_SHARE);
        ownRate.add(fleet.now, 1 / SET_RATE_TAU_MS);
        requests.put(r.id, r);
        double rank = demand.densities.add(r.density, random.nextDouble());   // least worth per work first
        Server s = pick(r);
        if (s == null) {
            hold(r);
            return;
        }
        if (s.condemned && s.lastTrial == fleet.now) {   // a trial: lateness there is no reason to refuse
            send(r, s);
            return;
        }
        // A bad draw is no reason to refuse: look the working set over.
        if (shed(r, s) > rank) {
            s = fitting.stream().min(Comparator.comparingDouble(x -> risk(x, r))).orElse(s);
        }
        double late = speeds.queued(s, r);
        feelPressure(fitting.stream().filter(x -> fleet.now - x.lastSample < LatencyEstimates.RECENT_MS)
            .mapToDouble(x -> speeds.queued(x, r)).min().orElse(late));
        double lasting = demand.shortage * Math.exp((fleet.answeredAt - fleet.now) / SHORTAGE_TAU_MS);
        if (shed(r, s) + lasting * Math.min(1, late / SHORTAGE_FROM) > rank) {
            giveUp(r);
        } else {
            send(r, s);
        }
    }

    /**
     * The share of the least worthy traffic to refuse, as queues there come near to missing the aim. While
     * the whole fleet is slower than when idle, sooner: many sidecars would each wait for late answers.
     */
    private double shed(Request r, Server s) {
        double late = speeds.crowded(s, r) / strictness;
        double fresh = Math.exp((fleet.timedAt - fleet.now) / LatencyEstimates.RECENT_TOOK_MS);   // news fade
        double times = 1 + (fleet.recentTimes - 1) * fresh;
        double slower = (times - SLOWER_FROM) / (SLOWER_ALL - SLOWER_FROM);
        double queues = Math.min(speeds.queued(s, r), demand.pressure) / strictness;
        double early = (queues - EARLY_FROM) / (EARLY_ALL - EARLY_FROM);
        double crowd = Math.min(SHORTAGE_MOST, Math.min(slower, early));
        double share = (late - SHED_FROM) / (SHED_ALL - SHED_FROM);   // below 0: offsets lasting lateness
        return crowd > 0 ? Math.max(crowd, share) : share;
    }

    /**
     * Lateness that lasts adds to the share refused until queues are short again. Guards against servers that
     * do less the more they hold: a share that only follows lateness would leave them crowded for good. It is
     * the least crowded server's of those just heard from: while one has room, choose rather than refuse.
     */
    private void feelPressure(double late) {
        demand.pressure += (Math.min(2, late) - demand.pressure) * PRESSURE_STEP;
        double since = Math.min(SHORTAGE_GAP_MS, fleet.now - demand.pressureAt);
        demand.pressureAt = fleet.now;
        double change = (demand.pressure - SHORTAGE_FROM) * since / SHORTAGE_TAU_MS;
        demand.shortage = Math.max(0, Math.min(SHORTAGE_MOST, demand.shortage + change));
    }

    /** The goal also counts the class served worst: its requests are worth that much more while it is. */
    private double goalWeight(Kind kind) {
        boolean worst = demand.kinds.values().stream().noneMatch(k -> k.servedShare() < kind.servedShare());
        double asked = demand.kinds.values().stream().mapToDouble(k -> k.worthAsked).sum();
        return cfg.goal().all() + (worst ? cfg.goal().worstClass() * asked / kind.worthAsked : 0);
    }

    /** Expected worth, as a part: less for a tenant whose use of its share is above the tenants' mean. */
    private double withinShare(String tenant) {
        Account mine = tenant == null ? null : demand.accounts.get(tenant);
        if (mine == null && !demand.accounts.isEmpty()) {   // a stranger has no share
            return cfg.overShareValueFactor();
        }
        if (mine == null || mine.tenant.allowancePerSecond() <= 0) {
            return 1;
        }
        mine.rate.add(fleet.now, 1000 / TENANT_TAU_MS);
        double rates = 0;
        double allowances = 0;
        for (Tenant t : cfg.tenants()) {
            rates += demand.accounts.get(t.name()).rate.at(fleet.now);
            allowances += t.allowancePerSecond();
        }
        double fair = rates * mine.tenant.allowancePerSecond() / allowances;
        double within = Math.min(1, fair / mine.rate.value);
        return within + (1 - within) * cfg.overShareValueFactor();
    }

    /** Kept only while waiting can help: a list may come, a rest may end, the cold budget refills. */
    private void hold(Request r) {
        boolean hope = asking || servers.values().stream().anyMatch(x -> maySend(r, x));
        double until = Math.min(r.aimAt(), r.giveUp) - fleet.slowness * speeds.cost(r);
        if (hope && fleet.now + HOLD_STEP_MS < until) {
            after(HOLD_STEP_MS, () -> lookAgain(r));
        } else {
            giveUp(r);
        }
    }

    private void lookAgain(Request r) {
        Server s = r.over ? null : pick(r);
        if (s != null) {
            send(r, s);
        } else if (!r.over) {
            hold(r);
        }
    }

    /** Lateness there, as a part of the aim, plus what crossing and connecting cost in its worth. */
    private double risk(Server s, Request r) {
        double late = (speeds.predicted(s, r) + fleet.now - r.arrived) / r.aim();
        double price = speeds.connects(s) ? cfg.prices().handshake() : 0;
        price += s.home ? 0 : cfg.prices().crossZone();
        // The larger of lateness and the odds of a refusal: without the second, the home zone would refuse
        // what a crossing still serves. Linear: where crossing is cheap, home must not be crowded at all.
        double lost = Math.max(late, Math.min(1, shed(r, s)));
        return lost + price * demand.meanWorth / Math.max(r.worth, 1e-9);
    }

}
