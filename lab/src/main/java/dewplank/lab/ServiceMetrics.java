package dewplank.lab;

import dewplank.emulator.Clients;
import dewplank.emulator.RecordedEvent.Type;
import dewplank.emulator.scenario.Scenario;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.function.ToLongFunction;
import org.HdrHistogram.Histogram;

/**
 * Measures the service of the clients: the value served within the latency target of its class over the requested
 * value, excluding the first second. A client's retries belong to its first attempt and count towards its latency.
 * Updated on the thread that runs the emulated environment; read on that thread or after the run.
 */
public final class ServiceMetrics implements Clients.OutcomeListener {
    private static final double WARM_UP_MS = 1_000;
    private static final int WARM_UP_S = 1;
    private static final int WORST_WINDOW_S = 10;

    private final Scenario scenario;
    private final double startedAtMs;
    private final List<ClassMetrics> classes;
    private final List<ValueTally> seconds = new ArrayList<>(); // indexed by the second of the first attempt
    private final List<List<ValueTally>> tenantSeconds = new ArrayList<>(); // indexed by that second, then tenant

    /** {@code startedAtMs}: the start of the run on its clock. */
    public ServiceMetrics(Scenario scenario, double startedAtMs) {
        this.scenario = scenario;
        this.startedAtMs = startedAtMs;
        this.classes = scenario.classes().stream().map(ClassMetrics::new).toList();
    }

    @Override
    public void requestEnded(
            int requestClass, int tenant, double firstSentAtMs, double latencyMs, int attempts, Type lastType) {
        double sinceStartMs = firstSentAtMs - startedAtMs;
        int second = (int) Math.max(0, sinceStartMs / 1000);
        ClassMetrics service = classes.get(requestClass);
        boolean isWithinTarget = service.isWithinTarget(latencyMs);
        tallyOf(second).add(service.value(), isWithinTarget);
        if (tenant >= 0) {
            tenantTallyOf(second, tenant).add(service.value(), isWithinTarget);
        }
        if (sinceStartMs >= WARM_UP_MS) {
            service.count(latencyMs, attempts, lastType);
        }
    }

    private ValueTally tallyOf(int second) {
        while (seconds.size() <= second) {
            seconds.add(new ValueTally());
        }
        return seconds.get(second);
    }

    private ValueTally tenantTallyOf(int second, int tenant) {
        while (tenantSeconds.size() <= second) {
            List<ValueTally> tallies = new ArrayList<>();
            scenario.tenantsAndKeys().tenants().forEach(any -> tallies.add(new ValueTally()));
            tenantSeconds.add(tallies);
        }
        return tenantSeconds.get(second).get(tenant);
    }

    /** The metrics of each class, in the order of the scenario. */
    public List<ClassMetrics> classes() {
        return classes;
    }

    /** The value of each second of the run, including the warm-up, by the second of the first attempt. */
    public List<ValueTally> seconds() {
        return Collections.unmodifiableList(seconds);
    }

    /** The value served within its target over the requested value, from 0 to 1; 1 if nothing was requested. */
    public double valueRatio() {
        double requested =
                classes.stream().mapToDouble(ClassMetrics::requestedValue).sum();
        double withinTarget =
                classes.stream().mapToDouble(ClassMetrics::valueWithinTarget).sum();
        return requested == 0 ? 1 : withinTarget / requested;
    }

    /** The lowest fraction of requests served within the target of any class, by count. */
    public double worstClass() {
        return classes.stream()
                .mapToDouble(ClassMetrics::withinTargetRatio)
                .min()
                .orElse(1);
    }

    /**
     * The lowest service of any tenant within its quota share: value that a tenant requests beyond its allowance in a
     * second is multiplied by the scenario's factor for such value. 1 if there are no tenants.
     */
    public double worstTenant() {
        double worst = 1;
        for (int tenant = 0; tenant < scenario.tenantsAndKeys().tenants().size(); tenant++) {
            worst = Math.min(worst, tenantService(tenant));
        }
        return worst;
    }

    private double tenantService(int tenant) {
        double allowedPerSecond = scenario.allowancePerSecond(tenant) * meanValue();
        double requested = 0;
        double served = 0;
        for (List<ValueTally> second : afterWarmUp(tenantSeconds)) {
            ValueTally tally = second.get(tenant);
            double allowedFraction = tally.isEmpty() ? 0 : Math.min(1, allowedPerSecond / tally.requested());
            double weightedExcessFraction =
                    (1 - allowedFraction) * scenario.tenantsAndKeys().overShareValueFactor();
            double countedValue = tally.requested() * (allowedFraction + weightedExcessFraction);
            requested += countedValue;
            served += Math.min(countedValue, tally.withinTarget()); // served value counts towards the allowance first
        }
        return requested > 0 ? served / requested : 1;
    }

    private double meanValue() {
        return requests() == 0
                ? 1
                : classes.stream().mapToDouble(ClassMetrics::requestedValue).sum() / requests();
    }

    /** The lowest service over any ten seconds after the warm-up. */
    public double worstWindow() {
        double worst = 1;
        for (int from = WARM_UP_S; from + WORST_WINDOW_S <= seconds.size(); from++) {
            ValueTally window = new ValueTally();
            seconds.subList(from, from + WORST_WINDOW_S).forEach(window::addAll);
            worst = Math.min(worst, window.ratio());
        }
        return worst;
    }

    private static <T> List<T> afterWarmUp(List<T> bySecond) {
        return bySecond.subList(Math.min(WARM_UP_S, bySecond.size()), bySecond.size());
    }

    /** The number of requests after the warm-up, not counting retries. */
    public long requests() {
        return classes.stream().mapToLong(ClassMetrics::requests).sum();
    }

    private double perRequest(ToLongFunction<ClassMetrics> figure) {
        return requests() == 0 ? 0 : (double) classes.stream().mapToLong(figure).sum() / requests();
    }

    /** The fraction of the requests whose last attempt was rejected. */
    public double refusedRatio() {
        return perRequest(ClassMetrics::refused);
    }

    /** The fraction of the requests whose last attempt was neither served nor rejected. */
    public double failedRatio() {
        return perRequest(ClassMetrics::failed);
    }

    public double attemptsPerRequest() {
        return perRequest(ClassMetrics::attempts);
    }

    /** Latencies of all classes, in microseconds. */
    public Histogram latencyUs() {
        Histogram all = new Histogram(ClassMetrics.MAX_LATENCY_US, ClassMetrics.SIGNIFICANT_DIGITS);
        classes.forEach(service -> all.add(service.latencyUs()));
        return all;
    }
}
