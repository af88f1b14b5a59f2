package dewplank.routing;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

class FleetSizeEstimatorTest {
    private static final double WINDOW_MS = 10_000;

    private final FleetSizeEstimator estimator = new FleetSizeEstimator(WINDOW_MS);

    @Test
    void isSettledOnlyAfterADelayFromTheFirstMembership() {
        assertFalse(estimator.isSettled(0));
        estimator.recordMembership(100_000, 0);
        assertFalse(estimator.isSettled(200_000));
        estimator.recordMembership(200_000, 1);
        assertFalse(estimator.isSettled(200_000));
        assertFalse(estimator.isSettled(202_999));
        estimator.recordMembership(202_999, 8);
        assertTrue(estimator.isSettled(203_000));
        assertEquals(8, estimator.dataPlanes(203_000));
    }

    /** A restarted control plane sends a membership with only the few sessions that have been opened by then. */
    @Test
    void anIncompleteMembershipDoesNotReduceTheCount() {
        estimator.recordMembership(0, 8);
        estimator.recordMembership(500_000, 2);
        assertEquals(8, estimator.dataPlanes(500_000));
        estimator.recordMembership(501_000, 8);
        assertEquals(8, estimator.dataPlanes(501_000));
    }

    /** The retention time of a count starts when it was last current, even if it was received long before. */
    @Test
    void aLargerEarlierCountIsDiscardedAfterTheRetentionTime() {
        estimator.recordMembership(0, 8);
        estimator.recordMembership(500_000, 5);
        assertEquals(8, estimator.dataPlanes(560_000));
        assertEquals(5, estimator.dataPlanes(560_001));
        estimator.recordMembership(570_000, 6);
        assertEquals(6, estimator.dataPlanes(570_000));
    }
}
