package dewplank.routing;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dewplank.balancer.health.ServerHealth;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

class OutcomeWindowTest {
    /** With the design's number of failures the verdict is the decision module's own, on any course of outcomes. */
    @Test
    void agreesWithTheBalancersServerHealth() {
        SplittableRandom random = new SplittableRandom(9);
        int unhealthy = 0;
        for (int course = 0; course < 200; course++) {
            ServerHealth health = new ServerHealth();
            OutcomeWindow outcomes = new OutcomeWindow();
            double failing = random.nextDouble();
            double now = 0;
            for (int i = 0; i < 100; i++) {
                now += random.nextDouble() * 800;
                String context = "class-" + random.nextInt(3);
                boolean healthy = random.nextDouble() >= failing;
                health.observe(now, context, healthy);
                outcomes.record(now, context, healthy);
                assertEquals(
                        health.isUnhealthy(now),
                        outcomes.isUnhealthy(
                                now, RoutingParameters.DEFAULTS.ejection().minFailures()));
                assertEquals(health.weight(), outcomes.weight());
                unhealthy += health.isUnhealthy(now) ? 1 : 0;
            }
        }
        assertTrue(unhealthy > 2_000 && unhealthy < 18_000, unhealthy + " of 20,000");
    }

    @Test
    void oneFailureMakesASuspectUntilItExpiresOrIsOutdated() {
        OutcomeWindow outcomes = new OutcomeWindow();
        assertFalse(outcomes.isSuspect(0));
        outcomes.record(0, "a", false);
        assertTrue(outcomes.isSuspect(1));
        assertEquals(1, outcomes.failureCount(10_000));
        assertEquals(0, outcomes.failureCount(10_001));
        assertFalse(outcomes.isSuspect(10_001));
        outcomes.record(20_000, "a", false);
        outcomes.record(20_001, "a", true);
        outcomes.record(20_002, "a", true);
        assertFalse(outcomes.isSuspect(20_003));
    }
}
