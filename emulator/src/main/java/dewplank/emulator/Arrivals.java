package dewplank.emulator;

import dewplank.emulator.scenario.LoadProfile;
import dewplank.emulator.scenario.RequestClassSpec;
import dewplank.emulator.scenario.Scenario;
import java.util.List;
import java.util.function.Consumer;
import java.util.function.DoubleSupplier;
import org.apache.commons.rng.UniformRandomProvider;

/**
 * Generates the requests that one sidecar's application sends. Arrivals form an open system: a Poisson process whose
 * rate follows the load shape and the injected faults, independent of the completion of earlier requests.
 */
final class Arrivals {
    /**
     * Longest interval between two evaluations of the rate. Exponential gaps are memoryless, so a longer gap can be cut
     * and drawn again.
     */
    private static final double MAX_GAP_MS = 100;
    /** Lower bound of the rate, as a fraction of the base rate. */
    private static final double MIN_RATE_FACTOR = 0.01;
    /** Position of the sidecar's number in an idempotency key; the bits below hold a sequence number. */
    private static final int SIDECAR_SHIFT = 36;

    private final EmulatedEnvironment environment;
    private final Scenario scenario;
    private final int sidecar;
    private final RequestMix mix;
    private final AttemptIds ids;
    private final double endMs;
    private final Consumer<ClientRequest> onArrival;
    private final UniformRandomProvider random;
    private final UniformRandomProvider subjectRandom;
    private final DoubleSupplier gaps;
    private final DoubleSupplier[] workByClass;
    private final double baseRatePerMs;
    private final double phase;
    private final double startMs;
    private double burstFactor = 1;
    private double burstUntilMs;

    Arrivals(
            EmulatedEnvironment environment,
            int sidecar,
            RequestMix mix,
            AttemptIds ids,
            double endMs,
            Consumer<ClientRequest> onArrival) {
        RandomStreams streams = environment.randomStreams();
        this.environment = environment;
        this.scenario = environment.scenario();
        this.sidecar = sidecar;
        this.mix = mix;
        this.ids = ids;
        this.endMs = endMs;
        this.onArrival = onArrival;
        this.random = streams.stream("client", sidecar);
        this.subjectRandom = streams.stream("subjects", sidecar);
        this.gaps = RandomStreams.exponential(streams.stream("arrivals", sidecar));
        this.workByClass = new DoubleSupplier[scenario.classes().size()];
        for (int i = 0; i < workByClass.length; i++) {
            RequestClassSpec spec = scenario.classes().get(i);
            workByClass[i] = RandomStreams.around(
                    spec.distribution(), spec.cv(), streams.stream("work " + spec.name(), sidecar));
        }
        this.baseRatePerMs = environment.arrivalsPerMs() / scenario.sidecars();
        this.phase = streams.stream("phase", 0).nextDouble();
        this.startMs = environment.now();
    }

    /** Schedules the next arrival; each arrival schedules its successor. */
    void scheduleNext() {
        double rate = baseRatePerMs
                * Math.max(MIN_RATE_FACTOR, rateFactor())
                * environment.tenantTraffic().loadFactor();
        double gapMs = gaps.getAsDouble() / rate;
        if (gapMs > MAX_GAP_MS) {
            environment.schedule(MAX_GAP_MS, () -> {
                if (environment.now() < endMs) {
                    scheduleNext();
                }
            });
            return;
        }
        environment.schedule(gapMs, () -> {
            if (environment.now() < endMs) {
                onArrival.accept(drawRequest());
                scheduleNext();
            }
        });
    }

    /** The current rate, as a multiple of the base rate. */
    private double rateFactor() {
        LoadProfile load = scenario.load();
        double nowMs = environment.now() - startMs;
        double factor =
                switch (load.shape()) {
                    case STEADY -> 1;
                    case WAVE -> 1 + load.swing() * StrictMath.sin(2 * Math.PI * (nowMs / load.periodMs() + phase));
                    case BURSTS -> burstFactor(load, nowMs);
                };
        return factor * environment.loadFactor();
    }

    private double burstFactor(LoadProfile load, double nowMs) {
        if (nowMs >= burstUntilMs) {
            burstFactor = burstFactor > 1 ? 1 - load.swing() : 1 + load.swing();
            burstUntilMs = nowMs + load.periodMs() * (0.5 + random.nextDouble());
        }
        return burstFactor;
    }

    private ClientRequest drawRequest() {
        int requestClass = mix.requestClass(random.nextDouble());
        List<RequestClassSpec> classes = scenario.classes();
        double work = classes.get(requestClass).work() * workByClass[requestClass].getAsDouble();
        long key = ((long) sidecar + 1 << SIDECAR_SHIFT) + ids.next();
        boolean honoursRetryAfter = random.nextDouble() < scenario.clients().honourRetryAfterFraction();
        int tenant = RequestMix.indexAt(
                subjectRandom.nextDouble(), environment.tenantTraffic().cumulativeFractions());
        int subjectKey = mix.subjectKey(subjectRandom.nextDouble());
        return new ClientRequest(requestClass, key, work, environment.now(), honoursRetryAfter, tenant, subjectKey);
    }
}
