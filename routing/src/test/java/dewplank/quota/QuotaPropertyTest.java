package dewplank.quota;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dewplank.quota.QuotaSimulation.Admitted;
import dewplank.quota.QuotaSimulation.LimitInForce;
import dewplank.quota.QuotaSimulation.SimulatedControlPlane;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.ShrinkingMode;
import net.jqwik.api.lifecycle.AfterContainer;

/** The bounds of shares and tokens, and what tenants get when all is well, over random histories. */
class QuotaPropertyTest {
    private static final double DRIFT = ShareLease.MAX_CLOCK_DRIFT;
    private static final double FAULTS_MS = 40_000;
    private static final double STEADY_MS = 10_000;
    /** Two leases by the slowest clock, and heartbeats for what was freed last. */
    private static final double SETTLE_MS = 2 * ShareLease.ASSIGNER_MS / (1 - DRIFT) + 5 * QuotaSimulation.HEARTBEAT_MS;

    private static final double ROUNDING = 1e-9;

    private static double largestSumOfShares;
    private static double largestGrantedFraction;
    private static double largestUsedFraction;

    @AfterContainer
    static void printTheMostThatWasReached() {
        System.out.printf(
                "MEASURED quotas: shares in force %.6f of the whole at most, tokens granted %.3f and requests admitted"
                        + " %.3f of their bound at most%n",
                largestSumOfShares, largestGrantedFraction, largestUsedFraction);
    }

    // ---- histories ------------------------------------------------------------------------------------

    private static <T> T pick(Random random, List<T> values) {
        return values.get(random.nextInt(values.size()));
    }

    private static QuotaTerms drawTerms(Random random) {
        double overshoot = pick(random, List.of(0.0, 0.05, 0.1, 0.1, 0.3));
        double slack = pick(random, List.of(0.0, 8.0, 20.0));
        return new QuotaTerms(2_000 + random.nextInt(8_000), overshoot, slack);
    }

    private static List<TenantLimit> drawLimits(Random random) {
        List<TenantLimit> limits = new ArrayList<>();
        for (String tenant : QuotaSimulation.TENANTS) {
            double ratePerSecond = Math.pow(10, random.nextDouble() * 3);
            boolean isLimited = random.nextInt(8) > 0;
            if (random.nextInt(8) > 0) {
                limits.add(new TenantLimit(tenant, isLimited ? ratePerSecond : 0, random.nextInt(60)));
            }
        }
        return limits;
    }

    private static void injectFault(QuotaSimulation simulation, Random random) {
        SimulatedControlPlane victim = pick(random, simulation.controlPlanes());
        SimulatedControlPlane other = pick(random, simulation.controlPlanes());
        switch (random.nextInt(12)) {
            case 0, 1 -> {
                victim.kill();
                simulation.after(random.nextDouble() * 6_000, victim::start);
            }
            case 2, 3 -> victim.freeze(random.nextDouble() * 6_000);
            case 4, 5, 6 -> simulation.loseRole(random.nextBoolean() ? 50 : random.nextDouble() * 2_000);
            case 7 -> simulation.injectMessageFaults(random.nextDouble() * 0.4, random.nextDouble() * 0.3);
            case 8, 9 -> {
                victim.cut(other);
                other.cut(victim);
            }
            case 10 -> simulation.changeLimits(drawLimits(random));
            default -> simulation.healAll();
        }
    }

    private static void runFaults(QuotaSimulation simulation, Random random) {
        simulation.changeLimits(drawLimits(random));
        simulation.loseRole(0);
        simulation.runUntil(random.nextDouble() * SETTLE_MS);
        while (simulation.nowMs() < FAULTS_MS) {
            simulation.runUntil(simulation.nowMs() + random.nextDouble() * 1_500);
            injectFault(simulation, random);
            if (simulation.isRoleVacant()) {
                simulation.loseRole(random.nextDouble() * 2_000);
            }
        }
    }

    /** Nearly all that there is, with pauses in which buckets fill. */
    private static void takeGreedily(QuotaSimulation simulation, Random random) {
        for (SimulatedControlPlane asked : simulation.controlPlanes()) {
            for (String tenant : QuotaSimulation.TENANTS) {
                asked.take(tenant, 1 + random.nextInt(60));
            }
        }
        double pauseMs = random.nextInt(200) == 0 ? 2_000 : 40;
        simulation.after(random.nextDouble() * pauseMs, () -> takeGreedily(simulation, random));
    }

    // ---- the bound of requests ------------------------------------------------------------------------

    /**
     * The largest fraction of its bound that a tenant's requests reached in any span.
     *
     * @param lifetimeMs how long before they are counted their tokens may have been granted
     */
    private static double largestFraction(
            List<Admitted> admitted, double spanMs, double lifetimeMs, QuotaTerms terms, List<LimitInForce> limits) {
        double largest = 0;
        for (String tenant : QuotaSimulation.TENANTS) {
            List<Admitted> ofTenant = admitted.stream()
                    .filter(each -> each.tenant().equals(tenant))
                    .toList();
            List<LimitInForce> limitsOfTenant = limits.stream()
                    .filter(each -> each.limit().tenant().equals(tenant))
                    .toList();
            int sum = 0;
            int last = 0;
            for (Admitted first : ofTenant) {
                double endMs = first.atMs() + spanMs;
                for (; last < ofTenant.size() && ofTenant.get(last).atMs() <= endMs; last++) {
                    sum += ofTenant.get(last).count();
                }
                largest = Math.max(largest, sum / bound(first.atMs() - lifetimeMs, endMs, terms, limitsOfTenant));
                sum -= first.count();
            }
        }
        return largest;
    }

    /** By the largest limit that any control plane acted on within the span. */
    private static double bound(double startMs, double endMs, QuotaTerms terms, List<LimitInForce> limits) {
        double rate = 0;
        double burst = 0;
        for (LimitInForce each : limits) {
            if (each.fromMs() <= endMs
                    && each.untilMs() >= startMs
                    && each.limit().isLimited()) {
                rate = Math.max(rate, each.limit().ratePerSecond());
                burst = Math.max(burst, each.limit().burst());
            }
        }
        return (rate * terms.windowMs() / 1_000 + burst) * (1 + terms.overshoot()) + terms.slack();
    }

    /** In true time, by the slowest clock of a data plane. */
    private static double longestLifetimeMs(QuotaTerms terms) {
        return terms.tokenLifetimeMs() / (1 - DRIFT);
    }

    @Property(tries = 400, shrinking = ShrinkingMode.OFF)
    void sharesAndTokensKeepToTheirBounds(@ForAll long seed) {
        Random random = new Random(seed);
        QuotaTerms terms = drawTerms(random);
        QuotaSimulation simulation = new QuotaSimulation(random, terms, 2 + random.nextInt(5));
        takeGreedily(simulation, random);
        runFaults(simulation, random);
        double spanMs = terms.windowMs() + longestLifetimeMs(terms);
        double fraction = largestFraction(simulation.granted(), spanMs, 0, terms, simulation.limitsInForce());
        largestSumOfShares = Math.max(largestSumOfShares, simulation.largestSumOfShares());
        largestGrantedFraction = Math.max(largestGrantedFraction, fraction);
        assertTrue(fraction <= 1, "granted " + fraction + " of the bound");
    }

    @Property(tries = 200, shrinking = ShrinkingMode.OFF)
    void requestsAdmittedByDataPlanesKeepToTheQuota(@ForAll long seed) {
        Random random = new Random(seed);
        QuotaTerms terms = drawTerms(random);
        QuotaSimulation simulation = new QuotaSimulation(random, terms, 2 + random.nextInt(5));
        for (int dataPlane = 0; dataPlane < 12; dataPlane++) {
            simulation.new SimulatedDataPlane(pick(random, QuotaSimulation.TENANTS), 5 + random.nextInt(100));
        }
        runFaults(simulation, random);
        double fraction = largestFraction(
                simulation.used(), terms.windowMs(), longestLifetimeMs(terms), terms, simulation.limitsInForce());
        largestUsedFraction = Math.max(largestUsedFraction, fraction);
        assertTrue(fraction <= 1, "admitted " + fraction + " of the bound");
    }

    // ---- when all is well -----------------------------------------------------------------------------

    @Property(tries = 200, shrinking = ShrinkingMode.OFF)
    void liveControlPlanesHoldEqualSharesAndATenantWithinItsLimitIsNotRefused(@ForAll long seed) {
        Random random = new Random(seed);
        QuotaTerms terms = new QuotaTerms(5_000, 0.1, 20);
        int controlPlanes = 2 + random.nextInt(5);
        QuotaSimulation simulation = new QuotaSimulation(random, terms, controlPlanes);
        runFaults(simulation, random);
        // what the faults still scheduled happens first
        simulation.runUntil(simulation.nowMs() + 6_000);
        simulation.healAll();
        TenantLimit limit = new TenantLimit("crew", 2 + random.nextInt(200), 2);
        simulation.changeLimits(List.of(limit));
        if (random.nextBoolean() || simulation.isRoleVacant()) {
            simulation.loseRole(0);
        }
        simulation.injectMessageFaults(0.05, 0);
        simulation.runUntil(simulation.nowMs() + SETTLE_MS);
        for (SimulatedControlPlane controlPlane : simulation.controlPlanes()) {
            askEvenly(simulation, controlPlane, limit.ratePerSecond());
        }
        double endMs = simulation.nowMs() + STEADY_MS;
        while (simulation.nowMs() < endMs) {
            for (SimulatedControlPlane controlPlane : simulation.controlPlanes()) {
                assertEquals(1.0 / controlPlanes, controlPlane.fraction(), ROUNDING);
            }
            simulation.runUntil(simulation.nowMs() + 10);
        }
    }

    /** Asks for the control plane's part of what the slowest clock makes of the tenant's rate. */
    private static void askEvenly(QuotaSimulation simulation, SimulatedControlPlane asked, double ratePerSecond) {
        double intervalMs = simulation.controlPlanes().size() * 1_000 / (ratePerSecond * (1 - DRIFT)) + ROUNDING;
        simulation.after(intervalMs, () -> askAndRepeat(simulation, asked, intervalMs));
    }

    private static void askAndRepeat(QuotaSimulation simulation, SimulatedControlPlane asked, double intervalMs) {
        assertInstanceOf(TakeResult.Granted.class, asked.take("crew", 1));
        simulation.after(intervalMs, () -> askAndRepeat(simulation, asked, intervalMs));
    }
}
