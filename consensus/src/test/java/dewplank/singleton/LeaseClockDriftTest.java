package dewplank.singleton;

import dewplank.singleton.LeaseSimulation.SimulatedNode;
import dewplank.singleton.LeaseSimulation.Times;
import java.util.Random;
import org.junit.jupiter.api.Test;

/**
 * Clocks that run at different speeds, and messages far faster than they differ over a lease: a holder that is cut off
 * must have ended its lease before its voters elect another. {@link LeaseSimulation} fails a history in which there are
 * two holders at once.
 */
class LeaseClockDriftTest {
    private static final double LEASE_MS = LeaseSimulation.LEASE_MS;
    /** Under a tenth of the 30 ms that two clocks may differ by over a lease. */
    private static final Times FAST = new Times(LEASE_MS, 2, 0.5);

    private static final int HISTORIES = 3_000;

    @Test
    void aHolderThatIsCutOffEndsItsLeaseBeforeAnotherIsElected() {
        for (long seed = 0; seed < HISTORIES; seed++) {
            Random random = new Random(seed);
            LeaseSimulation simulation = new LeaseSimulation(random, 3, FAST);
            simulation.runUntilAcquired(null, 300 + LEASE_MS);
            simulation.runUntil(simulation.nowMs() + random.nextDouble() * 2 * LEASE_MS);
            SimulatedNode holder = simulation.leaseHolder();
            for (SimulatedNode other : simulation.voters()) {
                simulation.cut(holder.name(), other.name());
                simulation.cut(other.name(), holder.name());
            }
            simulation.runUntilAcquired(holder, 2 * LEASE_MS);
        }
    }
}
