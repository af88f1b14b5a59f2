package dewplank.singleton;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;

import dewplank.register.AcceptorId;
import dewplank.singleton.LeaseSimulation.Sidecar;
import java.util.List;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.ShrinkingMode;

/** How long a duty stays vacant where links and disks are well. */
class LeaseSuccessionTest {
    private static final double LEASE_MS = LeaseSimulation.LEASE_MS;
    /** A delay, a probe and a ballot; of 3,000 histories the worst split so often that it took half a lease. */
    private static final double BALLOTS_MS = LEASE_MS;

    private static LeaseSimulation held(long seed) {
        Random random = new Random(seed);
        LeaseSimulation world = new LeaseSimulation(random, 3 + random.nextInt(3));
        world.runUntilHeld(null, 300 + BALLOTS_MS);
        world.runUntil(world.now() + random.nextDouble() * 3 * LEASE_MS);
        return world;
    }

    @Property(tries = 300, shrinking = ShrinkingMode.OFF)
    void aHolderStaysWhileItIsWell(@ForAll long seed) {
        LeaseSimulation world = held(seed);
        world.runUntil(world.now() + 10 * LEASE_MS);
        assertEquals(1, world.wins());
    }

    @Property(tries = 300, shrinking = ShrinkingMode.OFF)
    void aKilledHolderIsFollowedOnceItsLeaseHasPassed(@ForAll long seed) {
        LeaseSimulation world = held(seed);
        Sidecar holder = world.holder();
        holder.kill();
        world.runUntilHeld(holder, LEASE_MS + BALLOTS_MS);
    }

    @Property(tries = 300, shrinking = ShrinkingMode.OFF)
    void aFrozenHolderIsFollowedAndWinsNothingByThawing(@ForAll long seed) {
        LeaseSimulation world = held(seed);
        Sidecar holder = world.holder();
        holder.freeze();
        world.runUntilHeld(holder, LEASE_MS + BALLOTS_MS);
        Sidecar successor = world.holder();
        holder.thaw();
        world.runUntil(world.now() + 5 * LEASE_MS);
        assertEquals(successor, world.holder());
        assertEquals(2, world.wins());
    }

    @Property(tries = 300, shrinking = ShrinkingMode.OFF)
    void aHolderThatLaysTheDutyDownIsFollowedAtOnce(@ForAll long seed) {
        LeaseSimulation world = held(seed);
        Sidecar holder = world.holder();
        holder.release();
        world.runUntilHeld(holder, BALLOTS_MS);
    }

    @Property(tries = 300, shrinking = ShrinkingMode.OFF)
    void afterAllWereKilledTheDutyIsHeldOnceALeaseHasPassed(@ForAll long seed) {
        LeaseSimulation world = held(seed);
        for (Sidecar sidecar : world.all()) {
            sidecar.kill();
            sidecar.start(LEASE_MS);
        }
        world.runUntilHeld(null, LEASE_MS + BALLOTS_MS);
    }

    @Property(tries = 300, shrinking = ShrinkingMode.OFF)
    void aRollOfAllVotersKeepsTheDutyHeldOrWonAgain(@ForAll long seed) {
        LeaseSimulation world = held(seed);
        for (Sidecar sidecar : world.all()) {
            world.runUntil(world.now() + 2 * LEASE_MS);
            sidecar.release();
            world.runUntil(world.now() + 100);
            sidecar.kill();
            sidecar.start(LEASE_MS);
            world.runUntilHeld(null, LEASE_MS + BALLOTS_MS);
        }
    }

    /** The set still names the lost disk: the two that are left elect, and whoever wins can repair the set. */
    @Property(tries = 300, shrinking = ShrinkingMode.OFF)
    void aWipedHolderOfThreeIsFollowedBeforeTheSetIsRepaired(@ForAll long seed) {
        LeaseSimulation world = new LeaseSimulation(new Random(seed), 3);
        world.runUntilHeld(null, 300 + BALLOTS_MS);
        Sidecar holder = world.holder();
        holder.wipe();
        holder.start(LEASE_MS);
        world.runUntilHeld(holder, LEASE_MS + BALLOTS_MS);
        AcceptorId lost = world.wipedMembers().get(0);
        world.replace(lost, world.identityAt(lost));
        world.runUntil(world.now() + LEASE_MS);
        assertEquals(List.of(), world.wipedMembers());
        assertFalse(world.isChanging());
        assertEquals(2, world.wins());
    }

    @Property(tries = 300, shrinking = ShrinkingMode.OFF)
    void aHolderThatPausesIsFollowedAndComesBackOnlyAfterItsPause(@ForAll long seed) {
        LeaseSimulation world = held(seed);
        Sidecar holder = world.holder();
        holder.pause(4 * LEASE_MS);
        world.runUntilHeld(holder, BALLOTS_MS);
        assertEquals(2, world.wins());
    }

    @Property(tries = 300, shrinking = ShrinkingMode.OFF)
    void aVoterThatCannotKeepItsNumbersDoesNotKeepTheDutyVacant(@ForAll long seed) {
        LeaseSimulation world = held(seed);
        Sidecar holder = world.holder();
        world.all().stream().filter(s -> s != holder).findFirst().orElseThrow().diskFails(true);
        holder.release();
        world.runUntilHeld(holder, BALLOTS_MS);
    }
}
