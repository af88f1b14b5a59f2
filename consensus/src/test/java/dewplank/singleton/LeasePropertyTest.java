package dewplank.singleton;

import static org.junit.jupiter.api.Assertions.assertSame;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dewplank.register.AcceptorId;
import dewplank.singleton.LeaseSimulation.Sidecar;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.ShrinkingMode;

/** One holder at a time, rising numbers, and a successor in time, over random histories; a failure prints its seed. */
class LeasePropertyTest {
    private static final double LEASE_MS = LeaseSimulation.LEASE_MS;
    /** Votes and silence of voters that restarted bind for one lease, waits for it end with a delay, ballots follow. */
    private static final double HEALED_BOUND_MS = 2.5 * LEASE_MS;

    private static final double TROUBLE_MS = 10 * LEASE_MS;

    private static <T> T pick(Random random, List<T> values) {
        return values.get(random.nextInt(values.size()));
    }

    private static void disturb(LeaseSimulation world, Random random) {
        Sidecar sidecar = pick(random, world.all());
        Sidecar other = pick(random, world.all());
        double later = world.now() + random.nextDouble() * 2 * LEASE_MS;
        switch (random.nextInt(13)) {
            case 0, 1 -> {
                sidecar.kill();
                world.at(later, () -> sidecar.start(LEASE_MS));
            }
            case 2, 3 -> {
                sidecar.freeze();
                world.at(later, sidecar::thaw);
            }
            case 4 -> world.cut(sidecar.name(), other.name());
            case 5 -> world.trouble(random.nextDouble() * 0.3, random.nextDouble() * 0.2, random.nextDouble() * 0.2);
            case 6 -> world.healAll();
            case 7, 8 -> world.changeVoters();
            case 9, 10 -> wipe(world, sidecar, later, random);
            case 11 -> {
                sidecar.diskFails(true);
                world.at(later, () -> sidecar.diskFails(false));
            }
            default -> stopOrSplit(world, random, sidecar, later);
        }
    }

    /** The keeper puts the new identity in the place of the lost one early, late, or not before all is well. */
    private static void wipe(LeaseSimulation world, Sidecar sidecar, double later, Random random) {
        if (!world.mayWipe(sidecar)) {
            return;
        }
        sidecar.wipe();
        world.at(world.now() + random.nextDouble() * 1_000, () -> sidecar.start(LEASE_MS));
        world.at(later, () -> repair(world));
    }

    private static void repair(LeaseSimulation world) {
        List<AcceptorId> wiped = world.wipedMembers();
        if (!wiped.isEmpty() && !world.isChanging()) {
            world.replace(wiped.get(0), world.identityAt(wiped.get(0)));
        }
    }

    private static void stopOrSplit(LeaseSimulation world, Random random, Sidecar sidecar, double later) {
        if (random.nextBoolean()) {
            if (sidecar.isUp()) {
                sidecar.release();
            }
            world.at(world.now() + 100, sidecar::kill);
            world.at(later, () -> sidecar.start(LEASE_MS));
            return;
        }
        for (Sidecar near : world.all()) {
            for (Sidecar far : world.all()) {
                if (near.name().compareTo(sidecar.name()) < 0 != far.name().compareTo(sidecar.name()) < 0) {
                    world.cut(near.name(), far.name());
                }
            }
        }
    }

    private static LeaseSimulation troubled(Random random) {
        LeaseSimulation world = new LeaseSimulation(random, 1 + random.nextInt(5));
        double end = TROUBLE_MS * random.nextDouble();
        while (world.now() < end) {
            world.runUntil(world.now() + random.nextDouble() * LEASE_MS);
            disturb(world, random);
        }
        return world;
    }

    /** Heals everything but a minority, which stays down; changes of the set come to their end before. */
    private static void heal(LeaseSimulation world, Random random) {
        world.healAll();
        for (Sidecar sidecar : world.everyone()) {
            sidecar.diskFails(false);
            sidecar.thaw();
            sidecar.start(LEASE_MS);
        }
        double end = world.now() + 10 * LEASE_MS;
        while (world.isChanging() || !world.wipedMembers().isEmpty()) {
            assertTrue(world.now() < end, "the set of voters does not settle");
            repair(world);
            world.runUntil(world.now() + 50);
        }
        List<Sidecar> sidecars = new ArrayList<>(world.all());
        Collections.shuffle(sidecars, random);
        int down = random.nextInt((sidecars.size() - 1) / 2 + 1);
        for (Sidecar sidecar : sidecars.subList(0, down)) {
            sidecar.kill();
        }
        for (Sidecar sidecar : sidecars.subList(down, sidecars.size())) {
            sidecar.thaw();
            sidecar.start(LEASE_MS);
        }
    }

    @Property(tries = 1000, shrinking = ShrinkingMode.OFF)
    void oneHolderAtATimeAndASuccessorOnceAMajorityIsWell(@ForAll long seed) {
        Random random = new Random(seed);
        LeaseSimulation world = troubled(random);
        heal(world, random);
        // what the troubled phase still planned (late starts, messages seconds late) comes to its end first
        world.runUntil(world.now() + 2 * LEASE_MS);
        heal(world, random);
        // changes planned before may have begun since: their voters give no vote to a new holder for a lease
        world.runUntilHeld(null, HEALED_BOUND_MS);
        world.runUntil(world.now() + HEALED_BOUND_MS);
        Sidecar holder = world.holder();
        long number = holder.number();
        world.runUntil(world.now() + 3 * LEASE_MS);
        assertSame(holder, world.holder());
        assertTrue(holder.number() == number);
    }
}
