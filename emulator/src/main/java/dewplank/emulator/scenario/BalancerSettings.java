package dewplank.emulator.scenario;

import dewplank.balancer.Settings;
import dewplank.balancer.Settings.Goal;
import dewplank.balancer.Settings.Idempotency;
import dewplank.balancer.Settings.Limits;
import dewplank.balancer.Settings.Prices;
import dewplank.balancer.Settings.RequestClass;
import dewplank.balancer.Settings.Safety;
import dewplank.balancer.Settings.Tenant;
import java.util.ArrayList;
import java.util.List;

/** Derives the settings of a sidecar's balancer from a scenario. */
public final class BalancerSettings {
    private static final List<String> LOAD_REPORT_FIELDS = List.of("rif");
    /** Deductions from the result: a small one for a cross-zone request, none for a handshake. */
    private static final Prices PRICES = new Prices(0.03, 0);

    private static final Goal GOAL = new Goal(0.8, 0.2, 0, 0);

    private BalancerSettings() {}

    /** The balancer settings of the sidecar with the given number. */
    public static Settings of(Scenario scenario, int sidecar) {
        return new Settings(
                sidecar,
                scenario.sidecars(),
                scenario.zoneOfSidecar(sidecar),
                scenario.tickMs(),
                false,
                false,
                false,
                scenario.tenantsAndKeys().keys().count() > 0,
                scenario.tenantsAndKeys().overShareValueFactor(),
                scenario.loadReports().enabled() ? LOAD_REPORT_FIELDS : List.of(),
                false,
                scenario.classes().stream().map(BalancerSettings::requestClass).toList(),
                tenants(scenario),
                limits(scenario),
                safety(scenario.rules()),
                PRICES,
                GOAL);
    }

    private static RequestClass requestClass(RequestClassSpec spec) {
        return new RequestClass(
                spec.name(),
                spec.idempotency(),
                spec.deduplicationScope(),
                spec.idempotency() == Idempotency.KEYED ? spec.deduplicationWindowMs() : 0,
                spec.targetLatencyMs(),
                0,
                spec.deadlineMs(),
                spec.value(),
                0,
                false);
    }

    private static List<Tenant> tenants(Scenario scenario) {
        List<TenantLoad> loads = scenario.tenantsAndKeys().tenants();
        double totalShare = loads.stream().mapToDouble(TenantLoad::share).sum();
        List<Tenant> tenants = new ArrayList<>();
        for (int i = 0; i < loads.size(); i++) {
            TenantLoad load = loads.get(i);
            tenants.add(new Tenant(load.name(), load.share() / totalShare, scenario.allowancePerSecond(i)));
        }
        return tenants;
    }

    private static Limits limits(Scenario scenario) {
        Rules rules = scenario.rules();
        return new Limits(
                rules.maxAttempts(),
                rules.hedging(),
                true,
                rules.healthChecks(),
                scenario.peerMessages().enabled(),
                rules.allowsRetryAdvice(),
                rules.maxRetryAdviceMs(),
                scenario.connections().connectTimeoutMs(),
                scenario.connections().idleMs(),
                1);
    }

    private static Safety safety(Rules rules) {
        return new Safety(
                rules.maxSubscribeDelayMs(),
                rules.warmUpMs(),
                rules.warmUpInitialFraction(),
                rules.collapseFactor(),
                rules.collapseWindowMs(),
                false,
                false);
    }
}
