package dewplank.emulator;

import dewplank.emulator.scenario.TenantLoad;
import java.util.Arrays;
import java.util.List;

/** The distribution of the load over the tenants, and the total load, which changes with the load of each tenant. */
final class TenantTraffic {
    private final List<TenantLoad> tenants;
    private final double[] factors;
    private double[] cumulativeFractions;
    private double loadFactor = 1;

    TenantTraffic(List<TenantLoad> tenants) {
        this.tenants = tenants;
        this.factors = new double[tenants.size()];
        Arrays.fill(factors, 1);
        updateFractions();
    }

    /** Cumulative fractions of the requests by tenant. Empty if there are no tenants. */
    double[] cumulativeFractions() {
        return cumulativeFractions;
    }

    /** Total load of all tenants, as a multiple of the base load. */
    double loadFactor() {
        return loadFactor;
    }

    /** Sets a tenant's load, as a multiple of its base load. */
    void setFactor(int tenant, double factor) {
        factors[tenant] = factor;
        updateFractions();
    }

    private void updateFractions() {
        double[] cumulative = new double[tenants.size()];
        double baseLoad = 0;
        double currentLoad = 0;
        for (int i = 0; i < cumulative.length; i++) {
            double load = tenants.get(i).share() * tenants.get(i).usage();
            baseLoad += load;
            currentLoad += load * factors[i];
            cumulative[i] = currentLoad;
        }
        loadFactor = baseLoad <= 0 ? 1 : currentLoad / baseLoad;
        double sum = currentLoad;
        cumulativeFractions = Arrays.stream(cumulative)
                .map(value -> sum <= 0 ? 1 : value / sum)
                .toArray();
    }
}
