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
        assertFalse(size.settled(0));
        size.told(100_000, 0);
        assertFalse(size.settled(200_000));
        size.told(200_000, 1);
        assertFalse(size.settled(200_000));
        assertFalse(size.settled(202_999));
        size.told(202_999, 8);
        assertTrue(size.settled(203_000));
        assertEquals(8, size.dataPlanes(203_000));
    }

    /** A restarted control plane tells the few sessions that it has by then. */
    @Test
    void aShortListDoesNotRaiseAnybodysPart() {
        size.told(0, 8);
        size.told(500_000, 2);
        assertEquals(8, size.dataPlanes(500_000));
        size.told(501_000, 8);
        assertEquals(8, size.dataPlanes(501_000));
    }

    /** The count that stood is remembered from when it was last true, however long ago it was told. */
    @Test
    void oneThatIsGoneIsForgottenAtLast() {
        size.told(0, 8);
        size.told(500_000, 5);
        assertEquals(8, size.dataPlanes(560_000));
        assertEquals(5, size.dataPlanes(560_001));
        size.told(570_000, 6);
        assertEquals(6, size.dataPlanes(570_000));
    }
}
