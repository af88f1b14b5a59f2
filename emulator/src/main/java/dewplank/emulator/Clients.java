package dewplank.emulator;

import dewplank.balancer.Settings.DeduplicationScope;
import dewplank.balancer.Settings.Idempotency;
import dewplank.emulator.Note.What;
import dewplank.emulator.Scenario.Kind;
import dewplank.emulator.Scenario.Load;
import java.util.Arrays;
import java.util.function.DoubleSupplier;
import java.util.stream.IntStream;
import org.apache.commons.rng.UniformRandomProvider;

/**
 * The application copies, one beside each sidecar: open arrivals that wait for nothing, and retries as ordinary clients
 * make them. A safe request is repeated after anything, a keyed one within its window, and an unsafe one only after a
 * refusal or where the sidecar could not be reached.
 */
public final class Clients {
    /** The way to a sidecar. */
    public interface Front {
        void ask(Try request);

        /** The client closes its connection. */
        void leave(Try request);
    }

    /** How a request of a client's went, over all its tries. */
    public interface Tally {
        /** {@code tookMs}: from the first try to the answer that served, or NaN where none did. */
        void ended(int kind, int tenant, double askedAt, double tookMs, int tries, Note.What last);
    }

    /** One request of a client's. */
    static final class Ask {
        final int kind;
        final long key;
        final double work;
        final double at;
        final boolean honours;
        final int tenant;
        final int about;
        int tries;

        Ask(int kind, long key, double work, double at, boolean honours, int tenant, int about) {
            this.kind = kind;
            this.key = key;
            this.work = work;
            this.at = at;
            this.honours = honours;
            this.tenant = tenant;
            this.about = about;
        }
    }

    private final World world;
    private final Front front;
    private final Tally tally;
    private final Scenario scenario;
    private final double end;
    private final double[] upTo; // the classes' shares, added up
    private final double[] keysUpTo; // the keys' popularity, added up
    private long ids;
    private int open;

    public Clients(World world, Front front, Tally tally) {
        this.world = world;
        this.front = front;
        this.tally = tally;
        this.scenario = world.scenario;
        this.end = world.now() + scenario.lengthMs();
        this.upTo = addedUp(scenario.classes().stream().mapToDouble(Kind::share).toArray());
        Scenario.Keys keys = scenario.subjects().keys();
        this.keysUpTo = addedUp(IntStream.range(0, keys.count())
                .mapToDouble(i -> Math.pow(i + 1, -keys.zipf()))
                .toArray());
    }

    private static double[] addedUp(double[] parts) {
        double sum = Arrays.stream(parts).sum();
        double[] upTo = new double[parts.length];
        for (int i = 0; i < parts.length; i++) {
            upTo[i] = parts[i] / sum + (i == 0 ? 0 : upTo[i - 1]);
        }
        return upTo;
    }

    /** The number whose part holds that place; -1 where there is none. */
    private static int at(double place, double[] upTo) {
        int found = Arrays.binarySearch(upTo, place);
        return Math.min(upTo.length - 1, found >= 0 ? found : -found - 1);
    }

    public void start() {
        for (int i = 0; i < scenario.sidecars(); i++) {
            new Copy(i).next();
        }
    }

    /** Requests that have no end yet. */
    public int open() {
        return open;
    }

    /** The application copy beside one sidecar. */
    private final class Copy {
        final int sidecar;
        final UniformRandomProvider random;
        final UniformRandomProvider subjects;
        final DoubleSupplier gap;
        final DoubleSupplier[] work;
        final double perMs;
        final double phase;
        final double begun = world.now();
        double burst = 1;
        double burstUntil;

        Copy(int sidecar) {
            this.sidecar = sidecar;
            this.random = world.draws.stream("client", sidecar);
            this.subjects = world.draws.stream("subjects", sidecar);
            this.gap = Draws.exponential(world.draws.stream("arrivals", sidecar));
            this.work = new DoubleSupplier[scenario.classes().size()];
            for (int k = 0; k < work.length; k++) {
                Kind kind = scenario.classes().get(k);
                work[k] = Draws.around(
                        kind.distribution(), kind.cv(), world.draws.stream("work " + kind.name(), sidecar));
            }
            this.perMs = world.arrivalsPerMs() / scenario.sidecars();
            this.phase = world.draws.stream("phase", 0).nextDouble();
        }

        /** The part of the usual rate that holds now. */
        double shape() {
            Load load = scenario.load();
            double now = world.now() - begun;
            double factor =
                    switch (load.shape()) {
                        case STEADY -> 1;
                        case WAVE -> 1 + load.swing() * Math.sin(2 * Math.PI * (now / load.periodMs() + phase));
                        case BURSTS -> {
                            if (now >= burstUntil) {
                                burst = burst > 1 ? 1 - load.swing() : 1 + load.swing();
                                burstUntil = now + load.periodMs() * (0.5 + random.nextDouble());
                            }
                            yield burst;
                        }
                    };
            return factor * world.loadFactor();
        }

        void next() {
            double rate = perMs * Math.max(0.01, shape()) * world.tenantLoad();
            double wait = gap.getAsDouble() / rate;
            if (wait > 100) { // the rate may have changed by then: exponential gaps have no memory
                wait = 100;
                world.later(wait, this::nextIfOpen);
                return;
            }
            world.later(wait, () -> {
                if (world.now() < end) {
                    arrive();
                    next();
                }
            });
        }

        private void nextIfOpen() {
            if (world.now() < end) {
                next();
            }
        }

        void arrive() {
            int kind = at(random.nextDouble(), upTo);
            double load = scenario.classes().get(kind).work() * work[kind].getAsDouble();
            long key = ((long) sidecar + 1 << 36) + ++ids;
            open++;
            boolean honours = random.nextDouble() < scenario.clients().honour();
            int tenant = at(subjects.nextDouble(), world.tenantsUpTo());
            int about = at(subjects.nextDouble(), keysUpTo);
            attempt(new Ask(kind, key, load, world.now(), honours, tenant, about), sidecar);
        }
    }

    private void attempt(Ask ask, int sidecar) {
        Kind kind = scenario.classes().get(ask.kind);
        double now = world.now();
        double last = ask.at + kind.deadlineMs();
        double until = Math.min(last, now + scenario.clients().tryShare() * kind.deadlineMs());
        Try t = new Try(
                ++ids, ask.kind, ask.key, ask.work, sidecar, ask.tries > 0, now, until, ask, ask.tenant, ask.about);
        ask.tries++;
        world.note(What.ASKED, t, sidecar, -1, until);
        front.ask(t);
        boolean impatient = scenario.clients().impatient() > 0
                && world.draws.unit(-t.id) < scenario.clients().impatient();
        double wait = (until - now) * (impatient ? 0.5 : 1)
                + (impatient ? 0 : scenario.rules().answerSlackMs() + 1);
        world.later(wait, () -> {
            if (!t.over) {
                front.leave(t);
                over(t, What.LEFT, impatient ? 1 : 0);
            }
        });
    }

    /** The client has its answer. {@code madeFor}: of a served one, the id of the request that it was made for. */
    public void answered(Try t, What what, double value) {
        if (t.over) {
            world.note(what, t, t.sidecar, -1, value); // a second answer: the auditor will see it
            return;
        }
        over(t, what, value);
    }

    private void over(Try t, What what, double value) {
        t.over = true;
        world.note(what, t, t.sidecar, -1, value);
        Ask ask = t.ask;
        if (ask == null) {
            return;
        }
        double now = world.now();
        Kind kind = scenario.classes().get(ask.kind);
        boolean may =
                switch (what) {
                    case SERVED -> false;
                    case REFUSED, UNREACHABLE -> true;
                    default -> kind.effect() == Idempotency.SAFE
                            || kind.effect() == Idempotency.KEYED
                                    && kind.scope() == DeduplicationScope.ALL
                                    && now - ask.at < kind.windowMs();
                };
        double wait = scenario.clients().waitMs() * (0.5 + world.draws.unit(t.id));
        if (what == What.REFUSED && ask.honours && value > 0) {
            wait = Math.max(wait, Math.min(value, scenario.rules().maxAdviceMs()));
        }
        boolean again = may && ask.tries <= scenario.clients().retries() && now + wait < ask.at + kind.deadlineMs() - 1;
        if (kind.effect() == Idempotency.KEYED && what != What.REFUSED && now + wait - ask.at >= kind.windowMs()) {
            again = false; // its repeat would no longer be recognised
        }
        if (again) {
            world.later(wait, () -> attempt(ask, t.sidecar));
        } else {
            open--;
            tally.ended(ask.kind, ask.tenant, ask.at, what == What.SERVED ? now - ask.at : Double.NaN, ask.tries, what);
        }
    }
}
