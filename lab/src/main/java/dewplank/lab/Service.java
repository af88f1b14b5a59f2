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
 * What clients got: the value served within its class's latency target over the value requested, from the first second
 * on. A client's retries belong to its first attempt and count towards its time. On the thread that runs the world;
 * read there or after the run.
 */
public final class Service implements Clients.OutcomeListener {
    private static final double WARM_UP_MS = 1_000;
    private static final int WARM_UP_S = 1;
    private static final int WORST_WINDOW_S = 10;

    private final Scenario scenario;
    private final double startedAtMs;
    private final List<ClassService> classes;
    private final List<ValueTally> seconds = new ArrayList<>(); // by the second of the first attempt
    private final List<List<ValueTally>> tenantSeconds = new ArrayList<>(); // by that second and by tenant

    /** {@code startedAtMs}: when the run began, on its clock. */
    public Service(Scenario scenario, double startedAtMs) {
        this.scenario = scenario;
        this.startedAtMs = startedAtMs;
        this.classes = scenario.classes().stream().map(ClassService::new).toList();
    }

    @Override
    public void requestEnded(
            int requestClass, int tenant, double firstSentAtMs, double tookMs, int attempts, Type lastType) {
        double sinceStartMs = firstSentAtMs - startedAtMs;
        int second = (int) Math.max(0, sinceStartMs / 1000);
        ClassService service = classes.get(requestClass);
        boolean isWithinTarget = service.isWithinTarget(tookMs);
        tallyOf(second).add(service.value(), isWithinTarget);
        if (tenant >= 0) {
            tenantTallyOf(second, tenant).add(service.value(), isWithinTarget);
        }
        if (sinceStartMs >= WARM_UP_MS) {
            service.count(tookMs, attempts, lastType);
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

    /** In the scenario's order. */
    public List<ClassService> classes() {
        return classes;
    }

    /** The value of each second of the run, the warm-up included, by the second of the first attempt. */
    public List<ValueTally> seconds() {
        return Collections.unmodifiableList(seconds);
    }

    /** The value served within its target over the value requested, from 0 to 1; 1 where nothing was requested. */
    public double valueRatio() {
        double requested =
                classes.stream().mapToDouble(ClassService::requestedValue).sum();
        double withinTarget =
                classes.stream().mapToDouble(ClassService::valueWithinTarget).sum();
        return requested == 0 ? 1 : withinTarget / requested;
    }

    /** The part within its target of the class served worst, by count. */
    public double worstClass() {
        return classes.stream()
                .mapToDouble(ClassService::withinTargetRatio)
                .min()
                .orElse(1);
    }

    /**
     * The service of the tenant served worst, within its quota share: what it requests beyond its allowance in a second
     * counts only by the factor that the scenario gives such value. 1 without tenants.
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
            double allowedPart = tally.isEmpty() ? 0 : Math.min(1, allowedPerSecond / tally.requested());
            double excessPart = (1 - allowedPart) * scenario.tenantsAndKeys().overShareValueFactor();
            double counted = tally.requested() * (allowedPart + excessPart);
            requested += counted;
            served += Math.min(counted, tally.withinTarget()); // what is served counts as what is allowed first
        }
        return requested > 0 ? served / requested : 1;
    }

    private double meanValue() {
        return requests() == 0
                ? 1
                : classes.stream().mapToDouble(ClassService::requestedValue).sum() / requests();
    }

    /** The service of the worst ten seconds. */
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

    /** Requests after the warm-up, retries not counted. */
    public long requests() {
        return classes.stream().mapToLong(ClassService::requests).sum();
    }

    private double perRequest(ToLongFunction<ClassService> figure) {
        return requests() == 0 ? 0 : (double) classes.stream().mapToLong(figure).sum() / requests();
    }

    /** The part of the requests whose last attempt was refused. */
    public double refusedRatio() {
        return perRequest(ClassService::refused);
    }

    /** The part of the requests whose last attempt ended neither served nor refused. */
    public double failedRatio() {
        return perRequest(ClassService::failed);
    }

    public double attemptsPerRequest() {
        return perRequest(ClassService::attempts);
    }

    /** Latencies of all classes, in microseconds. */
    public Histogram latencyUs() {
        Histogram all = new Histogram(ClassService.MAX_LATENCY_US, ClassService.SIGNIFICANT_DIGITS);
        classes.forEach(service -> all.add(service.latencyUs()));
        return all;
    }
}
