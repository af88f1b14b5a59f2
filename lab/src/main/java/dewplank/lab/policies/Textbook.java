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
    private static final double ASK_AGAIN_MS = 1_000;

    /** One server as this sidecar sees it. */
    static final class Peer {
        Endpoint entry;
        int outstanding;
        int failuresInARow;
        double ejectedUntil;
        int ejections;
    }

    private static final class Open {
        final RequestArrived arrived;
        final RequestClass rules;
        final double until;
        final Set<String> tried = new HashSet<>(4);
        int attempts;
        boolean mayHaveRun;
        double firstSentAt = Double.NaN;

        Open(RequestArrived arrived, RequestClass rules, double until) {
            this.arrived = arrived;
            this.rules = rules;
            this.until = until;
        }
    }

    final Settings settings;
    final SplittableRandom random;
    final Map<String, Peer> peers = new LinkedHashMap<>();
    double now;
    private final Map<String, RequestClass> classes = new HashMap<>();
    private final Map<Long, Open> open = new HashMap<>();
    private Consumer<Action> out;
    private boolean watching;
    private final List<Peer> usable = new ArrayList<>(); // those up, in the list's order
    private boolean anyCold;

    Textbook(Settings settings, long seed) {
        this.settings = settings;
        this.random = new SplittableRandom(seed);
        settings.classes().forEach(c -> classes.put(c.name(), c));
    }

    /** One of these, none of which is empty; {@code work}: the mean of the class is not known here. */
    abstract Peer pick(List<Peer> from);

    /** What became of an attempt at that server. */
    void learn(Peer peer, Outcome outcome) {}

    /** An attempt goes there now. */
    void sent(Peer peer) {}

    /** Whether to refuse at once. */
    boolean refuses(RequestClass rules, Peer best, double leftMs) {
        return false;
    }

    @Override
    public void handle(double time, Event event, Consumer<Action> actions) {
        now = time;
        out = actions;
        if (event instanceof EndpointUpdate e) {
            list(e);
        } else if (event instanceof RequestArrived e) {
            Open o = new Open(e, classes.get(e.requestClass()), now + e.budgetMs());
            open.put(e.request(), o);
            attempt(o);
        } else if (event instanceof AttemptEnded e) {
            ended(e);
        } else if (event instanceof RequestAbandoned e) {
            open.remove(e.request());
        } else if (event instanceof TimerFired) {
            out.accept(new Subscribe());
        }
    }

    private void list(EndpointUpdate news) {
        if (news.kind() == UpdateKind.BROKEN) {
            out.accept(new SetTimer(1, ASK_AGAIN_MS));
            return;
        }
        if (news.kind() != UpdateKind.INCREMENTAL) {
            Set<String> named = new HashSet<>();
            news.endpoints().forEach(e -> named.add(e.server()));
            peers.keySet().removeIf(id -> !named.contains(id));
        }
        for (Endpoint e : news.endpoints()) {
            if (e.availability() == Availability.REMOVED) {
                peers.remove(e.server());
            } else {
                peers.computeIfAbsent(e.server(), id -> new Peer()).entry = e;
            }
        }
        usable.clear();
        anyCold = false;
        for (Peer p : peers.values()) {
            if (p.entry.availability() == Availability.UP) {
                usable.add(p);
                anyCold |= p.entry.startedAtMs() != null;
            }
        }
        if (!watching) {
            watching = true;
            out.accept(new Subscribe());
        }
    }

    /** Slow start: a cold server is drawn as often as it is surely warm. */
    boolean warmEnough(Peer p) {
        Double at = p.entry.startedAtMs();
        double cold = settings.safety().slowStartMs();
        if (at == null || cold <= 0 || now - at >= cold) {
            return true;
        }
        double share = settings.safety().slowStartInitialShare();
        return random.nextDouble() < share + (1 - share) * Math.max(0, now - at) / cold;
    }

    private void attempt(Open o) {
        List<Peer> from = usable;
        if (anyCold || !o.tried.isEmpty()) {
            from = new ArrayList<>();
            for (Peer p : usable) {
                if (!o.tried.contains(p.entry.server()) && warmEnough(p)) {
                    from.add(p);
                }
            }
        }
        Peer peer = from.isEmpty() ? null : pick(from);
        boolean first = o.attempts == 0;
        if (peer == null || first && refuses(o.rules, peer, o.until - now)) {
            giveUp(o);
            return;
        }
        o.attempts++;
        o.tried.add(peer.entry.server());
        peer.outstanding++;
        if (Double.isNaN(o.firstSentAt)) {
            o.firstSentAt = now;
        }
        sent(peer);
        out.accept(new Send(o.arrived.request(), peer.entry.server(), 0));
    }

    private void ended(AttemptEnded e) {
        Peer peer = peers.get(e.server());
        if (peer != null) {
            peer.outstanding = Math.max(0, peer.outstanding - 1);
            learn(peer, e.outcome());
        }
        Open o = open.get(e.request());
        if (o == null) {
            return;
        }
        if (e.requestIsOver()) {
            open.remove(e.request());
            return;
        }
        boolean never = e.outcome() == Outcome.REJECTED
                || e.outcome() == Outcome.CONNECT_FAILED
                || e.outcome() == Outcome.NEVER_SENT;
        o.mayHaveRun |= !never;
        boolean may = !o.mayHaveRun
                || o.rules.idempotency() == Idempotency.SAFE
                || o.rules.idempotency() == Idempotency.KEYED
                        && o.rules.deduplicationScope() == DeduplicationScope.ALL
                        && now - o.firstSentAt < o.rules.deduplicationWindowMs();
        if (may && o.attempts < settings.limits().maxAttempts() && now < o.until - 1) {
            attempt(o);
        } else {
            giveUp(o);
        }
    }

    private void giveUp(Open o) {
        open.remove(o.arrived.request());
        boolean mayRefuse = !o.mayHaveRun || o.rules.idempotency() == Idempotency.SAFE;
        out.accept(mayRefuse ? new Reject(o.arrived.request(), 0) : new Fail(o.arrived.request()));
    }
}
