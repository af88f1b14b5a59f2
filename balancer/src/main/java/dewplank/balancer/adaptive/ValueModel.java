package dewplank.balancer.adaptive;

import dewplank.balancer.Event.RequestArrived;
import dewplank.balancer.Settings;
import dewplank.balancer.Settings.Tenant;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.random.RandomGenerator;

/** Computes a request's value for the goal from its class, its work, and its tenant's use of its share. */
final class ValueModel {
    /** Initial estimate of a class's work and idle time, as a fraction of its latency target. */
    private static final double INITIAL_TARGET_FRACTION = 0.15;

    private static final double TENANT_TIME_CONSTANT_MS = 5_000;
    private static final double MILLIS_PER_SECOND = 1_000;
    private static final double MIN_WORK_MS = 1e-3;

    /** A tenant and its request rate. */
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
        for (Settings.RequestClass requestClass : settings.classes()) {
            double initialMs = requestClass.latencyTargetMs() * INITIAL_TARGET_FRACTION;
            classes.put(requestClass.name(), new ClassStats(requestClass, initialMs));
        }
        for (Tenant tenant : settings.tenants()) {
            tenants.put(tenant.name(), new TenantUsage(tenant, new DecayingSum(TENANT_TIME_CONSTANT_MS)));
        }
    }

    /**
     * Returns the request with its value.
     *
     * @throws IllegalArgumentException if the request's class is not in the settings
     */
    PendingRequest evaluate(RequestArrived event) {
        ClassStats stats = classes.get(event.requestClass());
        if (stats == null) {
            throw new IllegalArgumentException("unknown request class " + event.requestClass());
        }
        if (event.costMs() != null) {
            stats.work.add(event.costMs(), LatencyEstimates.FLEET_ALPHA);
        }
        double workMs = event.costMs() == null ? stats.work.value : event.costMs();
        double units = settings.valueIsPerWork() ? workMs : 1;
        double value = stats.requestClass.value() * units * tenantValueFactor(event.tenant());
        stats.valueRequested += value;
        double density = value * goalWeight(stats) / Math.max(workMs, MIN_WORK_MS);
        double alpha = meanValue == 0 ? 1 : LatencyEstimates.FLEET_ALPHA;
        meanValue += (value - meanValue) * alpha;
        return new PendingRequest(event, stats, step.nowMs(), value, density);
    }

    /** The moving average of the values of recent requests. */
    double meanValue() {
        return meanValue;
    }

    /** The request's rank among recent requests by value per unit of work, from 0 (lowest) to 1. */
    double rank(PendingRequest request) {
        return densities.add(request.density, random.nextDouble());
    }

    /**
     * The weight of the class's value in the goal. The goal also includes the worst-served class, so its
     * requests weigh more.
     */
    private double goalWeight(ClassStats stats) {
        boolean isWorst = true;
        for (ClassStats other : classes.values()) {
            isWorst &= !(other.servedFraction() < stats.servedFraction());
        }
        double requested =
                classes.values().stream().mapToDouble(c -> c.valueRequested).sum();
        if (!isWorst || stats.valueRequested <= 0) { // the value of a class may be 0
            return settings.goal().all();
        }
        return settings.goal().all() + settings.goal().worstClass() * requested / stats.valueRequested;
    }

    /** The factor on the value of a tenant's requests: below 1 while the tenant exceeds its share. */
    private double tenantValueFactor(String tenant) {
        TenantUsage usage = tenant == null ? null : tenants.get(tenant);
        if (usage == null && !tenants.isEmpty()) { // a tenant that is not in the settings has no share
            return settings.overShareValueFactor();
        }
        if (usage == null || usage.tenant().allowancePerSecond() <= 0) {
            return 1;
        }
        usage.requestsPerSecond().add(step.nowMs(), MILLIS_PER_SECOND / TENANT_TIME_CONSTANT_MS);
        double rates = 0;
        double allowances = 0;
        for (Tenant other : settings.tenants()) {
            rates += tenants.get(other.name()).requestsPerSecond().valueAt(step.nowMs());
            allowances += other.allowancePerSecond();
        }
        double fairRate = rates * usage.tenant().allowancePerSecond() / allowances;
        double fractionWithinShare = Math.min(1, fairRate / usage.requestsPerSecond().value);
        return fractionWithinShare + (1 - fractionWithinShare) * settings.overShareValueFactor();
    }
}
