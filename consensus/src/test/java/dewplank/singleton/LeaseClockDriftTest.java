package dewplank.singleton;

import dewplank.singleton.LeaseSimulation.SimulatedNode;
import dewplank.singleton.LeaseSimulation.Times;
import java.util.Random;
import org.junit.jupiter.api.Test;

/**
 * Tests with clocks that run at different speeds, and with message delays far below the clock difference that builds up
 * over a lease. A partitioned lease holder must consider its lease expired before the voters elect another one.
 * {@link LeaseSimulation} fails if there are two lease holders at the same time.
 */
class LeaseClockDriftTest {
    private static final double LEASE_MS = LeaseSimulation.LEASE_MS;
    /** Delays below a tenth of the 30 ms by which two clocks may diverge over a lease. */
    private static final Times FAST = new Times(LEASE_MS, 2, 0.5);

    private static final int HISTORIES = 3_000;

    @Test
    void aPartitionedHoldersLeaseExpiresBeforeAnotherIsElected() {
        for (long seed = 0; seed < HISTORIES; seed++) {
            Random random = new Random(seed);
            LeaseSimulation simulation = new LeaseSimulation(random, 3, FAST);
            simulation.runUntilAcquired(null, 300 + LEASE_MS);
            simulation.runUntil(simulation.nowMs() + random.nextDouble() * 2 * LEASE_MS);
            SimulatedNode holder = simulation.leaseHolder();
            for (SimulatedNode other : simulation.voters()) {
                simulation.blockLink(holder.name(), other.name());
                simulation.blockLink(other.name(), holder.name());
            }
            simulation.runUntilAcquired(holder, 2 * LEASE_MS);
        }
    }
}
