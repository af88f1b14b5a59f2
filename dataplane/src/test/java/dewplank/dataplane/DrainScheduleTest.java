package dewplank.dataplane;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** How the time between SIGTERM and SIGKILL is divided. */
class DrainScheduleTest {
    /** The platform checks each second and removes the process after two misses: 4 s are allowed. */
    @Test
    void aLongGracePeriodIsCapped() {
        assertEquals(2_600, new DrainSchedule(8_000).acceptMs());
        assertEquals(7_300, new DrainSchedule(8_000).endMs());
        assertEquals(2_600, new DrainSchedule(60_000).acceptMs());
    }

    @ParameterizedTest
    @ValueSource(doubles = {500, 1_000, 2_000, 3_000, 4_000, 8_000, 30_000})
    void whatWasTakenLastHasHalfOfTheRestAtLeast(double graceMs) {
        double left = new DrainSchedule(graceMs).endMs() - new DrainSchedule(graceMs).acceptMs();
        assertTrue(left >= (graceMs - new DrainSchedule(graceMs).acceptMs()) / 2, left + " ms of " + graceMs);
        assertTrue(new DrainSchedule(graceMs).endMs() < graceMs);
    }
}
