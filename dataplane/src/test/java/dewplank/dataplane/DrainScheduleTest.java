package dewplank.dataplane;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** The division of the time between SIGTERM and SIGKILL. */
class DrainScheduleTest {
    /** The platform checks once a second and removes the process after two failed checks; 4 s are allowed for this. */
    @Test
    void aLongGracePeriodIsCapped() {
        assertEquals(2_600, new DrainSchedule(8_000).acceptMs());
        assertEquals(7_300, new DrainSchedule(8_000).exitMs());
        assertEquals(2_600, new DrainSchedule(60_000).acceptMs());
    }

    @ParameterizedTest
    @ValueSource(doubles = {500, 1_000, 2_000, 3_000, 4_000, 8_000, 30_000})
    void requestsAcceptedLastHaveAtLeastHalfOfTheRemainingTime(double graceMs) {
        double remainingMs = new DrainSchedule(graceMs).exitMs() - new DrainSchedule(graceMs).acceptMs();
        assertTrue(
                remainingMs >= (graceMs - new DrainSchedule(graceMs).acceptMs()) / 2,
                remainingMs + " ms of " + graceMs);
        assertTrue(new DrainSchedule(graceMs).exitMs() < graceMs);
    }
}
