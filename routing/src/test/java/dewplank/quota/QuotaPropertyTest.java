package dewplank.quota;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dewplank.quota.QuotaSimulation.AppliedLimit;
import dewplank.quota.QuotaSimulation.CountAt;
import dewplank.quota.QuotaSimulation.SimulatedControlPlane;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.ShrinkingMode;
import net.jqwik.api.lifecycle.AfterContainer;

/** Checks the bounds on shares and tokens, and the tokens granted without faults, over random sequences of events. */
class QuotaPropertyTest {
    private static final double DRIFT = ShareLease.MAX_CLOCK_DRIFT;
    private static final double FAULTS_MS = 40_000;
    private static final double STEADY_MS = 10_000;
    /**
     * Time after which all shares are equal: two leases on the slowest clock, and five heartbeats to assign the shares
     * that became available last.
     */
    private static final double SETTLE_MS = 2 * ShareLease.IN_FORCE_MS / (1 - DRIFT) + 5 * QuotaSimulation.HEARTBEAT_MS;

    private static final double ROUNDING = 1e-9;

    private static double largestSumOfShares;
    private static double largestGrantedFraction;
    private static double largestAdmittedFraction;

    @AfterContainer
    static void printLargestValues() {
        System.out.printf(
                "MEASURED quotas: shares in force %.6f of the whole at most, tokens granted %.3f and requests admitted"
                        + " %.3f of their bound at most%n",
                largestSumOfShares, largestGrantedFraction, largestAdmittedFraction);
    }

    // ---- random sequences of events -------------------------------------------------------------------

    private static <T> T pick(Random random, List<T> values) {
        return values.get(random.nextInt(values.size()));
    }

    private static QuotaBounds randomBounds(Random random) {
        double overshoot = pick(random, List.of(0.0, 0.05, 0.1, 0.1, 0.3));
        double slack = pick(random, List.of(0.0, 8.0, 20.0));
        return new QuotaBounds(2_000 + random.nextInt(8_000), overshoot, slack);
    }

    private static List<TenantLimit> randomLimits(Random random) {
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
        SimulatedControlPlane faulty = pick(random, simulation.controlPlanes());
        SimulatedControlPlane other = pick(random, simulation.controlPlanes());
        switch (random.nextInt(12)) {
            case 0, 1 -> {
                faulty.crash();
                simulation.after(random.nextDouble() * 6_000, faulty::start);
            }
            case 2, 3 -> faulty.pause(random.nextDouble() * 6_000);
            case 4, 5, 6 -> simulation.endRoleLease(random.nextBoolean() ? 50 : random.nextDouble() * 2_000);
            case 7 -> simulation.injectMessageFaults(random.nextDouble() * 0.4, random.nextDouble() * 0.3);
            case 8, 9 -> {
                faulty.blockMessagesTo(other);
                other.blockMessagesTo(faulty);
            }
            case 10 -> simulation.changeLimits(randomLimits(random));
            default -> simulation.clearFaults();
        }
    }

    private static void runFaults(QuotaSimulation simulation, Random random) {
        simulation.changeLimits(randomLimits(random));
        simulation.endRoleLease(0);
        simulation.runUntil(random.nextDouble() * SETTLE_MS);
        while (simulation.nowMs() < FAULTS_MS) {
            simulation.runUntil(simulation.nowMs() + random.nextDouble() * 1_500);
            injectFault(simulation, random);
            if (simulation.isRoleVacant()) {
                simulation.endRoleLease(random.nextDouble() * 2_000);
            }
        }
    }

    /** Takes nearly all tokens that are available, with pauses in which the buckets fill. */
    private static void takeRepeatedly(QuotaSimulation simulation, Random random) {
        for (SimulatedControlPlane controlPlane : simulation.controlPlanes()) {
            for (String tenant : QuotaSimulation.TENANTS) {
                controlPlane.take(tenant, 1 + random.nextInt(60));
            }
        }
        double pauseMs = random.nextInt(200) == 0 ? 2_000 : 40;
        simulation.after(random.nextDouble() * pauseMs, () -> takeRepeatedly(simulation, random));
    }

    // ---- the bound on requests ------------------------------------------------------------------------

    /**
     * The largest fraction of its bound that a tenant's requests reached in any span.
     *
     * @param lifetimeMs the longest time between the grant of a token and the moment at which its use is counted
     */
    private static double largestFraction(
            List<CountAt> admitted, double spanMs, double lifetimeMs, QuotaBounds bounds, List<AppliedLimit> limits) {
        double largest = 0;
        for (String tenant : QuotaSimulation.TENANTS) {
            List<CountAt> ofTenant = admitted.stream()
                    .filter(each -> each.tenant().equals(tenant))
                    .toList();
            List<AppliedLimit> limitsOfTenant = limits.stream()
                    .filter(each -> each.limit().tenant().equals(tenant))
                    .toList();
            int sum = 0;
            int last = 0;
            for (CountAt first : ofTenant) {
                double endMs = first.atMs() + spanMs;
                for (; last < ofTenant.size() && ofTenant.get(last).atMs() <= endMs; last++) {
                    sum += ofTenant.get(last).count();
                }
                largest = Math.max(largest, sum / bound(first.atMs() - lifetimeMs, endMs, bounds, limitsOfTenant));
                sum -= first.count();
            }
        }
        return largest;
    }

    /** The bound that follows from the largest limit that any control plane applied within the span. */
    private static double bound(double startMs, double endMs, QuotaBounds bounds, List<AppliedLimit> limits) {
        double rate = 0;
        double burst = 0;
        for (AppliedLimit each : limits) {
            if (each.fromMs() <= endMs
                    && each.untilMs() >= startMs
                    && each.limit().isLimited()) {
                rate = Math.max(rate, each.limit().ratePerSecond());
                burst = Math.max(burst, each.limit().burst());
            }
        }
        return (rate * bounds.windowMs() / 1_000 + burst) * (1 + bounds.overshoot()) + bounds.slack();
    }

    /** The lifetime of a token in real time, on the slowest clock that a data plane may have. */
    private static double longestLifetimeMs(QuotaBounds bounds) {
        return bounds.tokenLifetimeMs() / (1 - DRIFT);
    }

    @Property(tries = 400, shrinking = ShrinkingMode.OFF)
    void sharesAndTokensStayWithinTheirBounds(@ForAll long seed) {
        Random random = new Random(seed);
        QuotaBounds bounds = randomBounds(random);
        QuotaSimulation simulation = new QuotaSimulation(random, bounds, 2 + random.nextInt(5));
        takeRepeatedly(simulation, random);
        runFaults(simulation, random);
        double spanMs = bounds.windowMs() + longestLifetimeMs(bounds);
        double fraction = largestFraction(simulation.granted(), spanMs, 0, bounds, simulation.appliedLimits());
        largestSumOfShares = Math.max(largestSumOfShares, simulation.largestSumOfShares());
        largestGrantedFraction = Math.max(largestGrantedFraction, fraction);
        assertTrue(fraction <= 1, "granted " + fraction + " of the bound");
    }

    @Property(tries = 200, shrinking = ShrinkingMode.OFF)
    void requestsAdmittedByDataPlanesStayWithinTheQuota(@ForAll long seed) {
        Random random = new Random(seed);
        QuotaBounds bounds = randomBounds(random);
        QuotaSimulation simulation = new QuotaSimulation(random, bounds, 2 + random.nextInt(5));
        for (int dataPlane = 0; dataPlane < 12; dataPlane++) {
            simulation.new SimulatedDataPlane(pick(random, QuotaSimulation.TENANTS), 5 + random.nextInt(100));
        }
        runFaults(simulation, random);
        double fraction = largestFraction(
                simulation.admitted(),
                bounds.windowMs(),
                longestLifetimeMs(bounds),
                bounds,
                simulation.appliedLimits());
        largestAdmittedFraction = Math.max(largestAdmittedFraction, fraction);
        assertTrue(fraction <= 1, "admitted " + fraction + " of the bound");
    }

    // ---- without faults -------------------------------------------------------------------------------

    @Property(tries = 200, shrinking = ShrinkingMode.OFF)
    void liveControlPlanesHaveEqualSharesAndATenantWithinItsLimitIsNotRejected(@ForAll long seed) {
        Random random = new Random(seed);
        QuotaBounds bounds = new QuotaBounds(5_000, 0.1, 20);
        int controlPlanes = 2 + random.nextInt(5);
        QuotaSimulation simulation = new QuotaSimulation(random, bounds, controlPlanes);
        runFaults(simulation, random);
        // events that the faults have scheduled run first
        simulation.runUntil(simulation.nowMs() + 6_000);
        simulation.clearFaults();
        TenantLimit limit = new TenantLimit("crew", 2 + random.nextInt(200), 2);
        simulation.changeLimits(List.of(limit));
        if (random.nextBoolean() || simulation.isRoleVacant()) {
            simulation.endRoleLease(0);
        }
        simulation.injectMessageFaults(0.05, 0);
        simulation.runUntil(simulation.nowMs() + SETTLE_MS);
        for (SimulatedControlPlane controlPlane : simulation.controlPlanes()) {
            requestAtEqualIntervals(simulation, controlPlane, limit.ratePerSecond());
        }
        double endMs = simulation.nowMs() + STEADY_MS;
        while (simulation.nowMs() < endMs) {
            for (SimulatedControlPlane controlPlane : simulation.controlPlanes()) {
                assertEquals(1.0 / controlPlanes, controlPlane.fraction(), ROUNDING);
            }
            simulation.runUntil(simulation.nowMs() + 10);
        }
    }

    /** Requests tokens at the control plane's part of the tenant's rate, as the slowest clock measures it. */
    private static void requestAtEqualIntervals(
            QuotaSimulation simulation, SimulatedControlPlane controlPlane, double ratePerSecond) {
        double intervalMs = simulation.controlPlanes().size() * 1_000 / (ratePerSecond * (1 - DRIFT)) + ROUNDING;
        simulation.after(intervalMs, () -> requestAndReschedule(simulation, controlPlane, intervalMs));
    }

    private static void requestAndReschedule(
            QuotaSimulation simulation, SimulatedControlPlane controlPlane, double intervalMs) {
        assertInstanceOf(TakeResult.Granted.class, controlPlane.take("crew", 1));
        simulation.after(intervalMs, () -> requestAndReschedule(simulation, controlPlane, intervalMs));
    }
}
