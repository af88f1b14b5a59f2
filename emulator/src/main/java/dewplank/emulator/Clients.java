package dewplank.emulator;

import dewplank.balancer.Settings.DeduplicationScope;
import dewplank.balancer.Settings.Idempotency;
import dewplank.emulator.RecordedEvent.Type;
import dewplank.emulator.scenario.KeyModel;
import dewplank.emulator.scenario.LoadProfile;
import dewplank.emulator.scenario.RequestClassSpec;
import dewplank.emulator.scenario.Scenario;
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
    public interface SidecarConnector {
        void send(ClientAttempt request);

        /** The client closes its connection. */
        void abandon(ClientAttempt request);
    }

    /** How a request of a client's went, over all its tries. */
    public interface OutcomeListener {
        /** {@code tookMs}: from the first try to the answer that served, or NaN where none did. */
        void requestEnded(int kind, int tenant, double askedAt, double tookMs, int tries, RecordedEvent.Type last);
    }

    /** One request of a client's. */
    static final class Request {
        final int requestClass;
        final long key;
        final double work;
        final double firstSentAtMs;
        final boolean honoursRetryAfter;
        final int tenant;
        final int subjectKey;
        int attempts;

        Request(int kind, long key, double work, double at, boolean honours, int tenant, int about) {
            this.requestClass = kind;
            this.key = key;
            this.work = work;
            this.firstSentAtMs = at;
            this.honoursRetryAfter = honours;
            this.tenant = tenant;
            this.subjectKey = about;
        }
    }

    private final World world;
    private final SidecarConnector front;
    private final OutcomeListener tally;
    private final Scenario scenario;
    private final double end;
    private final double[] cumulativeShares; // the classes' shares, added up
    private final double[] cumulativeKeyShares; // the keys' popularity, added up
    private long ids;
    private int openRequests;

    public Clients(World world, SidecarConnector front, OutcomeListener tally) {
        this.world = world;
        this.front = front;
        this.tally = tally;
        this.scenario = world.scenario();
        this.end = world.now() + scenario.lengthMs();
        this.cumulativeShares = cumulative(scenario.classes().stream()
                .mapToDouble(RequestClassSpec::weight)
                .toArray());
        KeyModel keys = scenario.tenantsAndKeys().keys();
        this.cumulativeKeyShares = cumulative(IntStream.range(0, keys.count())
                .mapToDouble(i -> Math.pow(i + 1, -keys.zipfExponent()))
                .toArray());
    }

    private static double[] cumulative(double[] parts) {
        double sum = Arrays.stream(parts).sum();
        double[] upTo = new double[parts.length];
        for (int i = 0; i < parts.length; i++) {
            upTo[i] = parts[i] / sum + (i == 0 ? 0 : upTo[i - 1]);
        }
        return upTo;
    }

    /** The number whose part holds that place; -1 where there is none. */
    private static int indexAt(double place, double[] upTo) {
        int found = Arrays.binarySearch(upTo, place);
        return Math.min(upTo.length - 1, found >= 0 ? found : -found - 1);
    }

    public void start() {
        for (int i = 0; i < scenario.sidecars(); i++) {
            new ApplicationInstance(i).next();
        }
    }

    /** Requests that have no end yet. */
    public int openRequests() {
        return openRequests;
    }

    /** The application copy beside one sidecar. */
    private final class ApplicationInstance {
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

        ApplicationInstance(int sidecar) {
            this.sidecar = sidecar;
            this.random = world.randomStreams().stream("client", sidecar);
            this.subjects = world.randomStreams().stream("subjects", sidecar);
            this.gap = RandomStreams.exponential(world.randomStreams().stream("arrivals", sidecar));
            this.work = new DoubleSupplier[scenario.classes().size()];
            for (int k = 0; k < work.length; k++) {
                RequestClassSpec kind = scenario.classes().get(k);
                work[k] = RandomStreams.around(
                        kind.distribution(), kind.cv(), world.randomStreams().stream("work " + kind.name(), sidecar));
            }
            this.perMs = world.arrivalsPerMs() / scenario.sidecars();
            this.phase = world.randomStreams().stream("phase", 0).nextDouble();
        }

        /** The part of the usual rate that holds now. */
        double shape() {
            LoadProfile load = scenario.load();
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
                world.schedule(wait, this::nextIfOpen);
                return;
            }
            world.schedule(wait, () -> {
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
            int kind = indexAt(random.nextDouble(), cumulativeShares);
            double load = scenario.classes().get(kind).work() * work[kind].getAsDouble();
            long key = ((long) sidecar + 1 << 36) + ++ids;
            openRequests++;
            boolean honours = random.nextDouble() < scenario.clients().honourRetryAfterFraction();
            int tenant = indexAt(subjects.nextDouble(), world.tenantsUpTo());
            int about = indexAt(subjects.nextDouble(), cumulativeKeyShares);
            attempt(new Request(kind, key, load, world.now(), honours, tenant, about), sidecar);
        }
    }

    private void attempt(Request ask, int sidecar) {
        RequestClassSpec kind = scenario.classes().get(ask.requestClass);
        double now = world.now();
        double last = ask.firstSentAtMs + kind.deadlineMs();
        double until = Math.min(last, now + scenario.clients().attemptDeadlineFraction() * kind.deadlineMs());
        ClientAttempt t = new ClientAttempt(
                ++ids,
                ask.requestClass,
                ask.key,
                ask.work,
                sidecar,
                ask.attempts > 0,
                now,
                until,
                ask,
                ask.tenant,
                ask.subjectKey);
        ask.attempts++;
        world.record(Type.SENT, t, sidecar, -1, until);
        front.send(t);
        boolean impatient = scenario.clients().abandonFraction() > 0
                && world.randomStreams().unit(-t.id()) < scenario.clients().abandonFraction();
        double wait = (until - now) * (impatient ? 0.5 : 1)
                + (impatient ? 0 : scenario.rules().answerSlackMs() + 1);
        world.schedule(wait, () -> {
            if (!t.isOver) {
                front.abandon(t);
                over(t, Type.ABANDONED, impatient ? 1 : 0);
            }
        });
    }

    /** The client has its answer. {@code madeFor}: of a served one, the id of the request that it was made for. */
    public void answered(ClientAttempt t, Type what, double value) {
        if (t.isOver) {
            world.record(what, t, t.sidecar(), -1, value); // a second answer: the auditor will see it
            return;
        }
        over(t, what, value);
    }

    private void over(ClientAttempt t, Type what, double value) {
        t.isOver = true;
        world.record(what, t, t.sidecar(), -1, value);
        Request ask = t.request;
        if (ask == null) {
            return;
        }
        double now = world.now();
        RequestClassSpec kind = scenario.classes().get(ask.requestClass);
        boolean may =
                switch (what) {
                    case SERVED -> false;
                    case REFUSED, UNREACHABLE -> true;
                    default -> kind.idempotency() == Idempotency.SAFE
                            || kind.idempotency() == Idempotency.KEYED
                                    && kind.deduplicationScope() == DeduplicationScope.ALL
                                    && now - ask.firstSentAtMs < kind.deduplicationWindowMs();
                };
        double wait =
                scenario.clients().backoffMs() * (0.5 + world.randomStreams().unit(t.id()));
        if (what == Type.REFUSED && ask.honoursRetryAfter && value > 0) {
            wait = Math.max(wait, Math.min(value, scenario.rules().maxAdviceMs()));
        }
        boolean again = may
                && ask.attempts <= scenario.clients().maxRetries()
                && now + wait < ask.firstSentAtMs + kind.deadlineMs() - 1;
        if (kind.idempotency() == Idempotency.KEYED
                && what != Type.REFUSED
                && now + wait - ask.firstSentAtMs >= kind.deduplicationWindowMs()) {
            again = false; // its repeat would no longer be recognised
        }
        if (again) {
            world.schedule(wait, () -> attempt(ask, t.sidecar()));
        } else {
            openRequests--;
            tally.requestEnded(
                    ask.requestClass,
                    ask.tenant,
                    ask.firstSentAtMs,
                    what == Type.SERVED ? now - ask.firstSentAtMs : Double.NaN,
                    ask.attempts,
                    what);
        }
    }
}
