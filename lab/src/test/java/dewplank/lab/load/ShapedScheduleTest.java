package dewplank.lab.load;

import static org.junit.jupiter.api.Assertions.assertEquals;

import dewplank.lab.load.ShapedSchedule.Shape;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Checks the number of requests that each shape starts, in total over three parts. */
class ShapedScheduleTest {
    private static final int PARTS = 3;
    private static final long SEED = 9;

    private static int startsBetween(Schedule schedule, double fromMs, double toMs) {
        int count = 0;
        for (int part = 0; part < PARTS; part++) {
            Arrivals arrivals = schedule.arrivals(part, PARTS, SEED);
            for (double timeMs = arrivals.nextMs(); timeMs < Arrivals.END; timeMs = arrivals.nextMs()) {
                count += timeMs >= fromMs && timeMs < toMs ? 1 : 0;
            }
        }
        return count;
    }

    @Test
    void poissonSchedulesStartRequestsAtTheirRate() {
        assertEquals(5_000, startsBetween(ShapedSchedule.poisson(500, 10_000), 0, 10_000), 250);
    }

    @Test
    void uniformSchedulesStartRequestsAtTheirRate() {
        assertEquals(5_000, startsBetween(ShapedSchedule.uniform(500, 10_000), 0, 10_000), 2);
    }

    @Test
    void aRampChangesLinearlyFromOneRateToTheOther() {
        Schedule ramp = new ShapedSchedule(Shape.RAMP, 100, 900, List.of(), 0, 1, 10_000);
        assertEquals(100 + 40 * 2.5, startsBetween(ramp, 0, 2_500) / 2.5, 25);
        assertEquals(500, startsBetween(ramp, 0, 10_000) / 10.0, 25);
    }

    @Test
    void stepsHaveEqualLengths() {
        Schedule steps = new ShapedSchedule(Shape.STEPS, 0, 0, List.of(100.0, 0.0, 300.0), 0, 1, 9_000);
        assertEquals(0, startsBetween(steps, 3_000, 6_000));
        assertEquals(900, startsBetween(steps, 6_000, 9_000), 100);
    }

    @Test
    void burstsAlternateWithPausesOfTheSameLength() {
        Schedule bursts = new ShapedSchedule(Shape.BURSTS, 100, 0, List.of(), 1, 2_000, 10_000);
        assertEquals(0, startsBetween(bursts, 1_000, 2_000));
        assertEquals(200, startsBetween(bursts, 2_000, 3_000), 50);
    }
}
