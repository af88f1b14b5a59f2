package dewplank.singleton;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;

import dewplank.register.AcceptorId;
import dewplank.singleton.LeaseSimulation.SimulatedNode;
import java.util.List;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.ShrinkingMode;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** How long a singleton role stays vacant where links and disks are healthy. */
class LeaseSuccessionTest {
    private static final double LEASE_MS = LeaseSimulation.LEASE_MS;
    /** A delay, a probe and a vote round; the worst of 3,000 histories split votes for half a lease. */
    private static final double ELECTION_MS = LEASE_MS;

    private static LeaseSimulation withHolder(long seed) {
        Random random = new Random(seed);
        LeaseSimulation simulation = new LeaseSimulation(random, 3 + random.nextInt(3));
        simulation.runUntilAcquired(null, 300 + ELECTION_MS);
        simulation.runUntil(simulation.nowMs() + random.nextDouble() * 3 * LEASE_MS);
        return simulation;
    }

    @Property(tries = 300, shrinking = ShrinkingMode.OFF)
    void aHealthyHolderKeepsTheLease(@ForAll long seed) {
        LeaseSimulation simulation = withHolder(seed);
        simulation.runUntil(simulation.nowMs() + 10 * LEASE_MS);
        assertEquals(1, simulation.leasesAcquired());
    }

    @Property(tries = 300, shrinking = ShrinkingMode.OFF)
    void aKilledHolderIsSucceededOnceItsLeaseHasExpired(@ForAll long seed) {
        LeaseSimulation simulation = withHolder(seed);
        SimulatedNode holder = simulation.leaseHolder();
        holder.kill();
        simulation.runUntilAcquired(holder, LEASE_MS + ELECTION_MS);
    }

    @Property(tries = 300, shrinking = ShrinkingMode.OFF)
    void aFrozenHolderIsSucceededAndHasNoLeaseAfterThawing(@ForAll long seed) {
        LeaseSimulation simulation = withHolder(seed);
        SimulatedNode holder = simulation.leaseHolder();
        holder.freeze();
        simulation.runUntilAcquired(holder, LEASE_MS + ELECTION_MS);
        SimulatedNode successor = simulation.leaseHolder();
        holder.thaw();
        simulation.runUntil(simulation.nowMs() + 5 * LEASE_MS);
        assertEquals(successor, simulation.leaseHolder());
        assertEquals(2, simulation.leasesAcquired());
    }

    @Property(tries = 300, shrinking = ShrinkingMode.OFF)
    void aHolderThatReleasesTheLeaseIsSucceededAtOnce(@ForAll long seed) {
        LeaseSimulation simulation = withHolder(seed);
        SimulatedNode holder = simulation.leaseHolder();
        holder.shutDown();
        simulation.runUntilAcquired(holder, ELECTION_MS);
    }

    @Property(tries = 300, shrinking = ShrinkingMode.OFF)
    void afterARestartOfAllTheLeaseIsAcquiredOnceTheAbstentionIsOver(@ForAll long seed) {
        LeaseSimulation simulation = withHolder(seed);
        for (SimulatedNode node : simulation.voters()) {
            node.kill();
            node.start(LEASE_MS);
        }
        simulation.runUntilAcquired(null, LEASE_MS + ELECTION_MS);
    }

    @Property(tries = 300, shrinking = ShrinkingMode.OFF)
    void aRollingRestartOfAllVotersLeavesNoVacancyBeyondTheBound(@ForAll long seed) {
        LeaseSimulation simulation = withHolder(seed);
        for (SimulatedNode node : simulation.voters()) {
            simulation.runUntil(simulation.nowMs() + 2 * LEASE_MS);
            node.shutDown();
            simulation.runUntil(simulation.nowMs() + 100);
            node.kill();
            node.start(LEASE_MS);
            simulation.runUntilAcquired(null, LEASE_MS + ELECTION_MS);
        }
    }

    /** The set still contains the lost disk: the two that are left elect, and the winner can repair the set. */
    @Property(tries = 300, shrinking = ShrinkingMode.OFF)
    void aWipedHolderOfThreeIsSucceededBeforeTheSetIsRepaired(@ForAll long seed) {
        LeaseSimulation simulation = new LeaseSimulation(new Random(seed), 3);
        simulation.runUntilAcquired(null, 300 + ELECTION_MS);
        SimulatedNode holder = simulation.leaseHolder();
        holder.wipe();
        holder.start(LEASE_MS);
        simulation.runUntilAcquired(holder, LEASE_MS + ELECTION_MS);
        AcceptorId lost = simulation.wipedMembers().get(0);
        simulation.replace(lost, simulation.identityAt(lost));
        simulation.runUntil(simulation.nowMs() + LEASE_MS);
        assertEquals(List.of(), simulation.wipedMembers());
        assertFalse(simulation.isChanging());
        assertEquals(2, simulation.leasesAcquired());
    }

    @Property(tries = 300, shrinking = ShrinkingMode.OFF)
    void aHolderThatStepsDownIsSucceededAndStaysBackForItsBackoff(@ForAll long seed) {
        LeaseSimulation simulation = withHolder(seed);
        SimulatedNode holder = simulation.leaseHolder();
        holder.stepDown(4 * LEASE_MS);
        simulation.runUntilAcquired(holder, ELECTION_MS);
        assertEquals(2, simulation.leasesAcquired());
    }

    @Property(tries = 300, shrinking = ShrinkingMode.OFF)
    void aVoterThatCannotPersistTokensDoesNotKeepTheRoleVacant(@ForAll long seed) {
        releaseWithAVoterThatCannotPersist(seed);
    }

    /** The release crossed a probe in the first, and overtook a renewal in the others. */
    @ParameterizedTest
    @ValueSource(
            longs = {
                1611871518158773392L,
                4825388683250503226L,
                3391180622633804030L,
                -3659840296068049507L,
                4067987372199291215L,
                4395382800490218624L,
                -6034498071845183329L,
                1818257679834831530L,
                2126169683034152654L
            })
    void historiesInWhichTheRoleWasVacantForALease(long seed) {
        releaseWithAVoterThatCannotPersist(seed);
    }

    private static void releaseWithAVoterThatCannotPersist(long seed) {
        LeaseSimulation simulation = withHolder(seed);
        SimulatedNode holder = simulation.leaseHolder();
        simulation.voters().stream()
                .filter(s -> s != holder)
                .findFirst()
                .orElseThrow()
                .failDisk(true);
        holder.shutDown();
        simulation.runUntilAcquired(holder, ELECTION_MS);
    }
}
