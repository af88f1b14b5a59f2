package dewplank.routing;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

class FleetSizeEstimatorTest {
    private static final double WINDOW_MS = 10_000;

    private final FleetSizeEstimator size = new FleetSizeEstimator(WINDOW_MS);

    @Test
    void nothingIsReliedOnBeforeTheFirstListHasSettled() {
        assertFalse(size.isSettled(0));
        size.recordMembership(100_000, 0);
        assertFalse(size.isSettled(200_000));
        size.recordMembership(200_000, 1);
        assertFalse(size.isSettled(200_000));
        assertFalse(size.isSettled(202_999));
        size.recordMembership(202_999, 8);
        assertTrue(size.isSettled(203_000));
        assertEquals(8, size.dataPlanes(203_000));
    }

    /** A restarted control plane tells the few sessions that it has by then. */
    @Test
    void aShortListDoesNotRaiseAnybodysPart() {
        size.recordMembership(0, 8);
        size.recordMembership(500_000, 2);
        assertEquals(8, size.dataPlanes(500_000));
        size.recordMembership(501_000, 8);
        assertEquals(8, size.dataPlanes(501_000));
    }

    /** The count that stood is remembered from when it was last true, however long ago it was told. */
    @Test
    void oneThatIsGoneIsForgottenAtLast() {
        size.recordMembership(0, 8);
        size.recordMembership(500_000, 5);
        assertEquals(8, size.dataPlanes(560_000));
        assertEquals(5, size.dataPlanes(560_001));
        size.recordMembership(570_000, 6);
        assertEquals(6, size.dataPlanes(570_000));
    }
}
