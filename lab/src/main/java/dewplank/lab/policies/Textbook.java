package dewplank.lab.policies;

import dewplank.balancer.Balancer;
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
        Entry entry;
        int outstanding;
        int failuresInARow;
        double ejectedUntil;
        int ejections;
    }

    private static final class Open {
        final Arrived arrived;
        final RequestClass rules;
        final double until;
        final Set<String> tried = new HashSet<>(4);
        int attempts;
        boolean mayHaveRun;
        double firstSentAt = Double.NaN;

        Open(Arrived arrived, RequestClass rules, double until) {
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
        if (event instanceof ListNews e) {
            list(e);
        } else if (event instanceof Arrived e) {
            Open o = new Open(e, classes.get(e.requestClass()), now + e.budgetMs());
            open.put(e.request(), o);
            attempt(o);
        } else if (event instanceof Ended e) {
            ended(e);
        } else if (event instanceof Abandoned e) {
            open.remove(e.request());
        } else if (event instanceof TimerFired) {
            out.accept(new Subscribe());
        }
    }

    private void list(ListNews news) {
        if (news.form() == ListForm.BROKEN) {
            out.accept(new SetTimer(1, ASK_AGAIN_MS));
            return;
        }
        if (news.form() != ListForm.CHANGES) {
            Set<String> named = new HashSet<>();
            news.entries().forEach(e -> named.add(e.server()));
            peers.keySet().removeIf(id -> !named.contains(id));
        }
        for (Entry e : news.entries()) {
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
                anyCold |= p.entry.startedAt() != null;
            }
        }
        if (!watching) {
            watching = true;
            out.accept(new Subscribe());
        }
    }

    /** Slow start: a cold server is drawn as often as it is surely warm. */
    boolean warmEnough(Peer p) {
        Double at = p.entry.startedAt();
        double cold = settings.safety().coldMs();
        if (at == null || cold <= 0 || now - at >= cold) {
            return true;
        }
        double share = settings.safety().coldShare();
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

    private void ended(Ended e) {
        Peer peer = peers.get(e.server());
        if (peer != null) {
            peer.outstanding = Math.max(0, peer.outstanding - 1);
            learn(peer, e.outcome());
        }
        Open o = open.get(e.request());
        if (o == null) {
            return;
        }
        if (e.over()) {
            open.remove(e.request());
            return;
        }
        boolean never = e.outcome() == Outcome.FULL
                || e.outcome() == Outcome.CONNECT_FAILED
                || e.outcome() == Outcome.NEVER_SENT;
        o.mayHaveRun |= !never;
        boolean may = !o.mayHaveRun
                || o.rules.effect() == Effect.SAFE
                || o.rules.effect() == Effect.KEYED
                        && o.rules.scope() == Scope.ALL
                        && now - o.firstSentAt < o.rules.memoryMs();
        if (may && o.attempts < settings.limits().maxAttempts() && now < o.until - 1) {
            attempt(o);
        } else {
            giveUp(o);
        }
    }

    private void giveUp(Open o) {
        open.remove(o.arrived.request());
        boolean mayRefuse = !o.mayHaveRun || o.rules.effect() == Effect.SAFE;
        out.accept(mayRefuse ? new Refuse(o.arrived.request(), 0) : new Fail(o.arrived.request()));
    }
}
