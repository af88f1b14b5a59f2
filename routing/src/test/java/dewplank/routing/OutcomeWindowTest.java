package dewplank.routing;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dewplank.balancer.health.ServerHealth;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

class OutcomeWindowTest {
    /** With the default minimum number of failures the result equals that of the balancer, for random outcomes. */
    @Test
    void agreesWithServerHealthOfTheBalancer() {
        SplittableRandom random = new SplittableRandom(9);
        int unhealthy = 0;
        for (int sequence = 0; sequence < 200; sequence++) {
            ServerHealth health = new ServerHealth();
            OutcomeWindow outcomes = new OutcomeWindow();
            double failureRate = random.nextDouble();
            double now = 0;
            for (int i = 0; i < 100; i++) {
                now += random.nextDouble() * 800;
                String requestClass = "class-" + random.nextInt(3);
                boolean healthy = random.nextDouble() >= failureRate;
                health.observe(now, requestClass, healthy);
                outcomes.record(now, requestClass, healthy);
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
    void aServerIsSuspectedUntilItsOnlyFailureExpiresOrSuccessesFollow() {
        OutcomeWindow outcomes = new OutcomeWindow();
        assertFalse(outcomes.isSuspected(0));
        outcomes.record(0, "a", false);
        assertTrue(outcomes.isSuspected(1));
        assertEquals(1, outcomes.failureCount(10_000));
        assertEquals(0, outcomes.failureCount(10_001));
        assertFalse(outcomes.isSuspected(10_001));
        outcomes.record(20_000, "a", false);
        outcomes.record(20_001, "a", true);
        outcomes.record(20_002, "a", true);
        assertFalse(outcomes.isSuspected(20_003));
    }
}
