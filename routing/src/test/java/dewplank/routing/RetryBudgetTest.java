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
    void aDataPlaneUsesOnlyItsPartOfTheSlack() {
        RetryBudget budget = new RetryBudget(RATIO, WINDOW_MS, SLACK);
        int acquired = 0;
        while (budget.tryAcquire(0, 8)) {
            acquired++;
        }
        assertTrue(acquired > 0 && acquired <= SLACK / 8, "acquired " + acquired);
        assertFalse(budget.tryAcquire(WINDOW_MS, 8), "the retries that were sent still count");
        assertTrue(budget.tryAcquire(1.2 * WINDOW_MS, 8));
    }

    /** In every window the sum over all data planes stays within the budget, for random requests and retries. */
    @Property(tries = 200)
    void theFleetStaysWithinTheBudget(
            @ForAll @IntRange(min = 1, max = 12) int dataPlanes, @ForAll @LongRange long seed) {
        java.util.SplittableRandom random = new java.util.SplittableRandom(seed);
        List<RetryBudget> budgets = new ArrayList<>();
        for (int i = 0; i < dataPlanes; i++) {
            budgets.add(new RetryBudget(RATIO, WINDOW_MS, SLACK));
        }
        List<Double> requests = new ArrayList<>();
        List<Double> retries = new ArrayList<>();
        for (double nowMs = 0; nowMs < 30_000; nowMs += random.nextDouble() * 60) {
            RetryBudget budget = budgets.get(random.nextInt(dataPlanes));
            if (random.nextInt(3) > 0) {
                budget.recordRequest(nowMs);
                requests.add(nowMs);
            } else if (budget.tryAcquire(nowMs, dataPlanes)) {
                retries.add(nowMs);
            }
        }
        for (double end : retries) {
            double start = end - WINDOW_MS;
            long sent = retries.stream()
                    .filter(sentAtMs -> sentAtMs > start && sentAtMs <= end)
                    .count();
            long requested = requests.stream()
                    .filter(sentAtMs -> sentAtMs > start && sentAtMs <= end)
                    .count();
            assertTrue(
                    sent <= RATIO * requested + SLACK, sent + " retries of " + requested + " requests, seed " + seed);
        }
    }

    /**
     * The fleet stays within the budget while the membership at each data plane is incomplete: after a restart of the
     * control planes, and on both sides of a partition. All data planes take as many retries as they can.
     */
    @Property(tries = 200)
    void theFleetStaysWithinTheBudgetWhileMembershipsAreIncomplete(
            @ForAll @IntRange(min = 2, max = 12) int dataPlanes, @ForAll @LongRange long seed) {
        java.util.SplittableRandom random = new java.util.SplittableRandom(seed);
        List<RetryBudget> budgets = new ArrayList<>();
        List<FleetSizeEstimator> estimators = new ArrayList<>();
        for (int i = 0; i < dataPlanes; i++) {
            budgets.add(new RetryBudget(RATIO, WINDOW_MS, SLACK));
            estimators.add(new FleetSizeEstimator(WINDOW_MS));
        }
        // from this time on all sessions are open and every membership is complete
        double completeFromMs = 0.2 * WINDOW_MS * random.nextDouble();
        double partitionedFromMs = WINDOW_MS + 2 * WINDOW_MS * random.nextDouble();
        double partitionedUntilMs = partitionedFromMs + 4 * WINDOW_MS * random.nextDouble();
        List<Double> retries = new ArrayList<>();
        for (double nowMs = 0; nowMs < 8 * WINDOW_MS; nowMs += 100 * random.nextDouble()) {
            int dataPlane = random.nextInt(dataPlanes);
            boolean isIncomplete = nowMs < completeFromMs || nowMs >= partitionedFromMs && nowMs < partitionedUntilMs;
            estimators
                    .get(dataPlane)
                    .recordMembership(nowMs, isIncomplete ? 1 + random.nextInt(dataPlanes) : dataPlanes);
            int estimatedDataPlanes = estimators.get(dataPlane).isSettled(nowMs)
                    ? estimators.get(dataPlane).dataPlanes(nowMs)
                    : RetryBudget.NO_SLACK;
            while (budgets.get(dataPlane).tryAcquire(nowMs, estimatedDataPlanes)) {
                retries.add(nowMs);
            }
        }
        for (double end : retries) {
            double start = end - WINDOW_MS;
            long sent = retries.stream()
                    .filter(sentAtMs -> sentAtMs > start && sentAtMs <= end)
                    .count();
            assertTrue(sent <= SLACK, sent + " retries, seed " + seed);
        }
    }
}
