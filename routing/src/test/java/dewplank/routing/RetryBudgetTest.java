package dewplank.routing;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.LongRange;
import org.junit.jupiter.api.Test;

class RetryBudgetTest {
    private static final double RATIO = 0.2;
    private static final double WINDOW_MS = 10_000;
    private static final double SLACK = 56;

    @Test
    void aDataPlaneHasItsPartOfTheSlackOnly() {
        RetryBudget budget = new RetryBudget(RATIO, WINDOW_MS, SLACK);
        int taken = 0;
        while (budget.tryAcquire(0, 8)) {
            taken++;
        }
        assertTrue(taken > 0 && taken <= SLACK / 8, "taken " + taken);
        assertFalse(budget.tryAcquire(WINDOW_MS, 8), "what was sent still counts");
        assertTrue(budget.tryAcquire(1.2 * WINDOW_MS, 8));
    }

    /** The sum over sidecars keeps to the rule in every window, whatever they ask for. */
    @Property(tries = 200)
    void theFleetKeepsToTheBudget(@ForAll @IntRange(min = 1, max = 12) int dataPlanes, @ForAll @LongRange long seed) {
        java.util.SplittableRandom random = new java.util.SplittableRandom(seed);
        List<RetryBudget> budgets = new ArrayList<>();
        for (int i = 0; i < dataPlanes; i++) {
            budgets.add(new RetryBudget(RATIO, WINDOW_MS, SLACK));
        }
        List<Double> requests = new ArrayList<>();
        List<Double> retries = new ArrayList<>();
        for (double now = 0; now < 30_000; now += random.nextDouble() * 60) {
            RetryBudget budget = budgets.get(random.nextInt(dataPlanes));
            if (random.nextInt(3) > 0) {
                budget.recordRequest(now);
                requests.add(now);
            } else if (budget.tryAcquire(now, dataPlanes)) {
                retries.add(now);
            }
        }
        for (double end : retries) {
            double start = end - WINDOW_MS;
            long sent = retries.stream().filter(t -> t > start && t <= end).count();
            long requested =
                    requests.stream().filter(t -> t > start && t <= end).count();
            assertTrue(
                    sent <= RATIO * requested + SLACK, sent + " repeats of " + requested + " requests, seed " + seed);
        }
    }

    /**
     * The same while what each sidecar is told of the others is short: after a restart of the control planes, and on
     * both sides of a cut. All ask for all that they may have.
     */
    @Property(tries = 200)
    void theFleetKeepsToTheBudgetWhileMembershipsAreShort(
            @ForAll @IntRange(min = 2, max = 12) int dataPlanes, @ForAll @LongRange long seed) {
        java.util.SplittableRandom random = new java.util.SplittableRandom(seed);
        List<RetryBudget> budgets = new ArrayList<>();
        List<FleetSizeEstimator> sizes = new ArrayList<>();
        for (int i = 0; i < dataPlanes; i++) {
            budgets.add(new RetryBudget(RATIO, WINDOW_MS, SLACK));
            sizes.add(new FleetSizeEstimator(WINDOW_MS));
        }
        double wholeFrom = 0.2 * WINDOW_MS * random.nextDouble(); // all sessions stand: by then all are told of all
        double cutFrom = WINDOW_MS + 2 * WINDOW_MS * random.nextDouble();
        double cutTo = cutFrom + 4 * WINDOW_MS * random.nextDouble();
        List<Double> retries = new ArrayList<>();
        for (double now = 0; now < 8 * WINDOW_MS; now += 100 * random.nextDouble()) {
            int asking = random.nextInt(dataPlanes);
            boolean few = now < wholeFrom || now >= cutFrom && now < cutTo;
            sizes.get(asking).recordMembership(now, few ? 1 + random.nextInt(dataPlanes) : dataPlanes);
            int among = sizes.get(asking).isSettled(now) ? sizes.get(asking).dataPlanes(now) : RetryBudget.NO_SLACK;
            while (budgets.get(asking).tryAcquire(now, among)) {
                retries.add(now);
            }
        }
        for (double end : retries) {
            double start = end - WINDOW_MS;
            long sent = retries.stream().filter(t -> t > start && t <= end).count();
            assertTrue(sent <= SLACK, sent + " repeats, seed " + seed);
        }
    }
}
