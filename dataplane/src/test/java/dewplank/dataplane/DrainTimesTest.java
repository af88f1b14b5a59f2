package dewplank.dataplane;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** How the time between SIGTERM and SIGKILL is divided. */
class DrainTimesTest {
    /** The platform asks each second, and leaves after two misses: 4 s are allowed. */
    @Test
    void aLongGraceLeavesThePlatformItsTime() {
        assertEquals(2_600, DataPlane.acceptOnMs(8_000));
        assertEquals(7_300, DataPlane.endMs(8_000));
        assertEquals(2_600, DataPlane.acceptOnMs(60_000));
    }

    @ParameterizedTest
    @ValueSource(doubles = {500, 1_000, 2_000, 3_000, 4_000, 8_000, 30_000})
    void whatWasTakenLastHasHalfOfTheRestAtLeast(double graceMs) {
        double left = DataPlane.endMs(graceMs) - DataPlane.acceptOnMs(graceMs);
        assertTrue(left >= (graceMs - DataPlane.acceptOnMs(graceMs)) / 2, left + " ms of " + graceMs);
        assertTrue(DataPlane.endMs(graceMs) < graceMs);
    }
}
