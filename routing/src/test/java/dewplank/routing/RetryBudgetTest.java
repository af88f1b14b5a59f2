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
        int acquired = 0;
        while (budget.tryAcquire(0, 8)) {
            acquired++;
        }
        assertTrue(acquired > 0 && acquired <= SLACK / 8, "acquired " + acquired);
        assertFalse(budget.tryAcquire(WINDOW_MS, 8), "what was sent still counts");
        assertTrue(budget.tryAcquire(1.2 * WINDOW_MS, 8));
    }

    /** The sum over data planes keeps to the rule in every window, whatever they ask for. */
    @Property(tries = 200)
    void theFleetKeepsToTheBudget(@ForAll @IntRange(min = 1, max = 12) int dataPlanes, @ForAll @LongRange long seed) {
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
                    sent <= RATIO * requested + SLACK, sent + " repeats of " + requested + " requests, seed " + seed);
        }
    }

    /**
     * The same while the membership that each data plane has is short: after a restart of the control planes, and on
     * both sides of a partition. All request all that they may have.
     */
    @Property(tries = 200)
    void theFleetKeepsToTheBudgetWhileMembershipsAreShort(
            @ForAll @IntRange(min = 2, max = 12) int dataPlanes, @ForAll @LongRange long seed) {
        java.util.SplittableRandom random = new java.util.SplittableRandom(seed);
        List<RetryBudget> budgets = new ArrayList<>();
        List<FleetSizeEstimator> estimators = new ArrayList<>();
        for (int i = 0; i < dataPlanes; i++) {
            budgets.add(new RetryBudget(RATIO, WINDOW_MS, SLACK));
            estimators.add(new FleetSizeEstimator(WINDOW_MS));
        }
        // by then all sessions are open, and every membership is complete
        double completeFromMs = 0.2 * WINDOW_MS * random.nextDouble();
        double partitionedFromMs = WINDOW_MS + 2 * WINDOW_MS * random.nextDouble();
        double partitionedUntilMs = partitionedFromMs + 4 * WINDOW_MS * random.nextDouble();
        List<Double> retries = new ArrayList<>();
        for (double nowMs = 0; nowMs < 8 * WINDOW_MS; nowMs += 100 * random.nextDouble()) {
            int asking = random.nextInt(dataPlanes);
            boolean isShort = nowMs < completeFromMs || nowMs >= partitionedFromMs && nowMs < partitionedUntilMs;
            estimators.get(asking).recordMembership(nowMs, isShort ? 1 + random.nextInt(dataPlanes) : dataPlanes);
            int sharers = estimators.get(asking).isSettled(nowMs)
                    ? estimators.get(asking).dataPlanes(nowMs)
                    : RetryBudget.NO_SLACK;
            while (budgets.get(asking).tryAcquire(nowMs, sharers)) {
                retries.add(nowMs);
            }
        }
        for (double end : retries) {
            double start = end - WINDOW_MS;
            long sent = retries.stream()
                    .filter(sentAtMs -> sentAtMs > start && sentAtMs <= end)
                    .count();
            assertTrue(sent <= SLACK, sent + " repeats, seed " + seed);
        }
    }
}
