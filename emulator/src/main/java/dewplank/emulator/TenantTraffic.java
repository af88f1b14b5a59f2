package dewplank.emulator;

import dewplank.emulator.scenario.TenantLoad;
import java.util.Arrays;
import java.util.List;

/** How the load is divided among the tenants, and how it changes with a tenant's load. */
final class TenantTraffic {
    private final List<TenantLoad> tenants;
    private final double[] factors;
    private double[] cumulativeFractions;
    private double loadFactor = 1;

    TenantTraffic(List<TenantLoad> tenants) {
        this.tenants = tenants;
        this.factors = new double[tenants.size()];
        Arrays.fill(factors, 1);
        divide();
    }

    /** Fractions of the requests by tenant, added up. Empty where there are no tenants. */
    double[] cumulativeFractions() {
        return cumulativeFractions;
    }

    /** Load of all tenants together, relative to the usual. */
    double loadFactor() {
        return loadFactor;
    }

    /** A tenant's load becomes this many times the usual. */
    void setFactor(int tenant, double factor) {
        factors[tenant] = factor;
        divide();
    }

    private void divide() {
        double[] cumulative = new double[tenants.size()];
        double usual = 0;
        double present = 0;
        for (int i = 0; i < cumulative.length; i++) {
            double load = tenants.get(i).share() * tenants.get(i).usage();
            usual += load;
            present += load * factors[i];
            cumulative[i] = present;
        }
        loadFactor = usual <= 0 ? 1 : present / usual;
        double sum = present;
        cumulativeFractions = Arrays.stream(cumulative)
                .map(value -> sum <= 0 ? 1 : value / sum)
                .toArray();
    }
}
