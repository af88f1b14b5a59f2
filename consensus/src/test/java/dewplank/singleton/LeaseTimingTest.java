package dewplank.singleton;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Tests the lease duration that is derived from the operators' bounds, and the election delay. */
class LeaseTimingTest {
    @ParameterizedTest
    @CsvSource({
        "4000, 3000, 3000, 1200", // three tenths of catch_up_s
        "6000, 4000, 3000, 1200", // two fifths of drain_ms
        "6000, 3500, 4000, 1400", // two fifths of contact_ms
        "1000, 3000, 3000, 600", // the minimum
    })
    void theLeaseDurationIsDerivedFromTheShortestBound(
            double catchUpMs, double contactMs, double drainMs, double leaseMs) {
        assertEquals(leaseMs, LeaseTiming.leaseMs(catchUpMs, contactMs, drainMs), 1e-9);
    }

    @Test
    void theElectionDelayDoublesUpToALimit() {
        LeaseTiming timing = LeaseTiming.ofLease(1_200);
        double first = timing.maxElectionDelayMs(0);
        assertEquals(2 * first, timing.maxElectionDelayMs(1), 1e-9);
        assertEquals(timing.maxElectionDelayMs(20), timing.maxElectionDelayMs(21), 1e-9);
    }
}
