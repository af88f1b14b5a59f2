package dewplank.balancer.health;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/** The observed outcomes of one server, the resulting vote on its health, and its weight. */
class ServerHealthTest {
    private final ServerHealth health = new ServerHealth();

    private void observe(String context, double firstAtMs, boolean... outcomes) {
        for (int index = 0; index < outcomes.length; index++) {
            health.observe(firstAtMs + index, context, outcomes[index]);
        }
    }

    @Test
    void threeUnhealthyOutcomesInOneContextMakeAServerUnhealthyAndTwoDoNot() {
        assertFalse(health.isUnhealthy(0), "no observations");
        observe("read", 0, false, false);
        assertFalse(health.isUnhealthy(2));
        observe("read", 2, false);
        assertTrue(health.isUnhealthy(3));
    }

    @Test
    void contextsAreCountedSeparately() {
        observe("read", 0, false, false);
        observe("act", 2, false, false);
        assertFalse(health.isUnhealthy(4));
        observe("act", 4, false);
        assertTrue(health.isUnhealthy(5), "one unhealthy context suffices");
    }

    @Test
    void theLatestObservationOverridesAHealthyMajority() {
        observe("read", 0, true, true, true, true, true, false, true, false, true, false);
        assertTrue(health.isUnhealthy(10), "three of ten, including the last one");
        observe("read", 10, true);
        assertFalse(health.isUnhealthy(11), "three of eleven, followed by a success");
    }

    @Test
    void halfOfTheWindowMakesAServerUnhealthyDespiteALaterSuccess() {
        observe("read", 0, false, false, false, true, true, true);
        assertTrue(health.isUnhealthy(6), "three of six");
        observe("read", 6, true);
        assertFalse(health.isUnhealthy(7), "three of seven");
    }

    @Test
    void aSuccessInAnotherContextIsTheLatestStatus() {
        observe("act", 0, true, true, true, true, true, true, false, false, false);
        assertTrue(health.isUnhealthy(9));
        observe("read", 9, true);
        assertFalse(health.isUnhealthy(10));
        observe("act", 10, false);
        assertTrue(health.isUnhealthy(11), "four of ten, including the last one");
        health.recordLateSuccess(11);
        assertFalse(health.isUnhealthy(12), "the server responds, though late");
    }

    @Test
    void observationsExpireAfterTenSeconds() {
        observe("read", 1_000, false, false, false);
        assertTrue(health.isUnhealthy(11_000));
        assertFalse(health.isUnhealthy(11_001), "two remain");
        observe("read", 11_001, false);
        assertTrue(health.isUnhealthy(11_001));
    }

    @Test
    void theWeightHalvesDownToTheFloorAndRisesInStepsToOne() {
        assertEquals(1, health.weight());
        observe("read", 0, false, false);
        assertEquals(0.25, health.weight());
        observe("act", 2, false, false, false);
        assertEquals(0.05, health.weight(), "the floor");
        observe("read", 5, true);
        assertEquals(0.1, health.weight(), 1e-12);
        for (int index = 0; index < 30; index++) {
            observe("read", 6 + index, true);
        }
        assertEquals(1, health.weight(), "the ceiling");
    }

    @Test
    void recentSuccessDependsOnTheLatestServedRequest() {
        assertEquals(Double.NEGATIVE_INFINITY, health.lastSuccessAtMs());
        assertFalse(health.hasRecentSuccess(0));
        observe("read", 500, true, false);
        assertEquals(500, health.lastSuccessAtMs());
        assertTrue(health.hasRecentSuccess(10_499));
        assertFalse(health.hasRecentSuccess(10_500));
        health.recordLateSuccess(600);
        assertTrue(health.hasRecentSuccess(10_500));
        assertEquals(0.5, health.weight(), "a late success does not raise the weight");
    }

    @Test
    void aNewProcessStartsHealthyAtFullWeight() {
        observe("read", 0, true, false, false, false);
        health.reset();
        assertFalse(health.isUnhealthy(4));
        assertEquals(1, health.weight());
        assertEquals(0, health.lastSuccessAtMs(), "the time of the last success is kept");
    }
}
