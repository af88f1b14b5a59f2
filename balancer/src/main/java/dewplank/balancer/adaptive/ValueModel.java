package dewplank.balancer.adaptive;

import dewplank.balancer.Event.RequestArrived;
import dewplank.balancer.Settings;
import dewplank.balancer.Settings.Tenant;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.random.RandomGenerator;

/** What a request is worth to the goal, by its class, its tenant's use of its share, and its work. */
final class ValueModel {
    private static final double FIRST_GUESS_OF_TARGET = 0.15; // a class's time before any is known
    private static final double TENANT_TIME_CONSTANT_MS = 5_000;
    private static final double MILLIS_PER_SECOND = 1_000;
    private static final double MIN_WORK_MS = 1e-3;

    /** A tenant and the rate of its requests. */
    private record TenantUsage(Tenant tenant, DecayingSum requestsPerSecond) {}

    private final Settings settings;
    private final Step step;
    private final RandomGenerator random;
    private final Map<String, ClassStats> classes = new LinkedHashMap<>();
    private final Map<String, TenantUsage> tenants = new HashMap<>();
    private final RecentRanking densities = new RecentRanking();
    private double meanValue;

    ValueModel(Settings settings, Step step, RandomGenerator random) {
        this.settings = settings;
        this.step = step;
        this.random = random;
        for (Settings.RequestClass rules : settings.classes()) {
            double firstGuessMs = rules.latencyTargetMs() * FIRST_GUESS_OF_TARGET;
            classes.put(rules.name(), new ClassStats(rules, firstGuessMs));
        }
        for (Tenant tenant : settings.tenants()) {
            tenants.put(tenant.name(), new TenantUsage(tenant, new DecayingSum(TENANT_TIME_CONSTANT_MS)));
        }
    }

    /**
     * The arrived request with its value.
     *
     * @throws IllegalArgumentException if the settings have no such class
     */
    PendingRequest evaluate(RequestArrived event) {
        ClassStats stats = classes.get(event.requestClass());
        if (stats == null) {
            throw new IllegalArgumentException("unknown class " + event.requestClass());
        }
        if (event.costMs() != null) {
            stats.work.add(event.costMs(), LatencyEstimates.FLEET_STEP);
        }
        double workMs = event.costMs() == null ? stats.work.value : event.costMs();
        double units = settings.valueIsPerWork() ? workMs : 1;
        double value = stats.rules.value() * units * withinShare(event.tenant());
        stats.valueRequested += value;
        double density = value * goalWeight(stats) / Math.max(workMs, MIN_WORK_MS);
        double meanStep = meanValue == 0 ? 1 : LatencyEstimates.FLEET_STEP;
        meanValue += (value - meanValue) * meanStep;
        return new PendingRequest(event, stats, step.nowMs(), value, density);
    }

    /** The mean value of a request lately. */
    double meanValue() {
        return meanValue;
    }

    /** Where the request stands among recent ones by value per work: from 0, the least, to 1. */
    double rank(PendingRequest request) {
        return densities.add(request.density, random.nextDouble());
    }

    /** The goal also counts the class served worst: its requests are worth that much more while it is. */
    private double goalWeight(ClassStats stats) {
        boolean isWorst = true;
        for (ClassStats other : classes.values()) {
            isWorst &= !(other.servedShare() < stats.servedShare());
        }
        double requested =
                classes.values().stream().mapToDouble(c -> c.valueRequested).sum();
        if (!isWorst || stats.valueRequested <= 0) { // a class may be worth nothing
            return settings.goal().all();
        }
        return settings.goal().all() + settings.goal().worstClass() * requested / stats.valueRequested;
    }

    /**
     * The part of its value that a request is expected to have: less while its tenant uses more than its
     * share.
     */
    private double withinShare(String tenant) {
        TenantUsage own = tenant == null ? null : tenants.get(tenant);
        if (own == null && !tenants.isEmpty()) { // a tenant that the settings do not name has no share
            return settings.overShareValueFactor();
        }
        if (own == null || own.tenant().allowancePerSecond() <= 0) {
            return 1;
        }
        own.requestsPerSecond().add(step.nowMs(), MILLIS_PER_SECOND / TENANT_TIME_CONSTANT_MS);
        double rates = 0;
        double allowances = 0;
        for (Tenant other : settings.tenants()) {
            rates += tenants.get(other.name()).requestsPerSecond().at(step.nowMs());
            allowances += other.allowancePerSecond();
        }
        double fairRate = rates * own.tenant().allowancePerSecond() / allowances;
        double within = Math.min(1, fairRate / own.requestsPerSecond().value);
        return within + (1 - within) * settings.overShareValueFactor();
    }
}
