package dewplank.singleton;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** The lease that an operator's bounds leave time for, and the times that follow from it. */
class LeaseTimingTest {
    @ParameterizedTest
    @CsvSource({
        "4000, 3000, 3000, 1200", // three tenths of catch_up_s
        "6000, 4000, 3000, 1200", // two fifths of drain_ms
        "6000, 3500, 4000, 1400", // two fifths of contact_ms
        "1000, 3000, 3000, 600", // the shortest
    })
    void theLeaseFollowsTheShortestBound(double catchUpMs, double contactMs, double drainMs, double leaseMs) {
        assertEquals(leaseMs, LeaseTiming.leaseMs(catchUpMs, contactMs, drainMs), 1e-9);
    }

    @Test
    void theDelayBeforeAnElectionDoublesUpToABound() {
        LeaseTiming timing = LeaseTiming.ofLease(1_200);
        double first = timing.maxElectionDelayMs(0);
        assertEquals(2 * first, timing.maxElectionDelayMs(1), 1e-9);
        assertEquals(timing.maxElectionDelayMs(20), timing.maxElectionDelayMs(21), 1e-9);
    }
}
