package dewplank.singleton;

import dewplank.register.AcceptorId;
import dewplank.singleton.LeaseSimulation.Sidecar;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.ShrinkingMode;

/**
 * Two histories that broke the duty while its voters were named by address: the simulation itself fails where a number
 * is won that is not above all before it, or where two hold at once.
 */
class LeaseWipeTest {
    private static final double LEASE_MS = LeaseSimulation.LEASE_MS;

    /** One voter knows nothing of the number that was won, another forgets it, the third is lost. */
    @Property(tries = 1000, shrinking = ShrinkingMode.OFF)
    void aWipeThenALossThenACutGiveNoNumberTwice(@ForAll long seed) {
        Random random = new Random(seed);
        LeaseSimulation world = new LeaseSimulation(random, 3);
        List<Sidecar> all = new ArrayList<>(world.all());
        Collections.shuffle(all, random);
        Sidecar alone = all.get(0);
        Sidecar wiped = all.get(1);
        Sidecar lost = all.get(2);
        isolate(world, alone, all, random);
        world.runUntil(world.now() + 1 + random.nextDouble() * 3 * LEASE_MS);
        wiped.wipe();
        world.runUntil(world.now() + random.nextDouble() * 500);
        wiped.start(LEASE_MS);
        world.runUntil(world.now() + random.nextDouble() * 2 * LEASE_MS);
        if (random.nextBoolean()) {
            repair(world);
        }
        world.runUntil(world.now() + random.nextDouble() * LEASE_MS);
        world.healAll();
        lost.kill();
        world.runUntil(world.now() + random.nextDouble() * 3 * LEASE_MS);
        isolate(world, random.nextBoolean() ? wiped : alone, all, random);
        lost.start(LEASE_MS);
        world.runUntil(world.now() + 3 * LEASE_MS);
        world.healAll();
        repair(world);
        world.runUntil(world.now() + 2 * LEASE_MS);
        world.runUntilHeld(null, 2 * LEASE_MS);
    }

    private static void repair(LeaseSimulation world) {
        List<AcceptorId> lost = world.wipedMembers();
        if (!lost.isEmpty() && !world.isChanging()) {
            world.replace(lost.get(0), world.identityAt(lost.get(0)));
        }
    }

    private static void isolate(LeaseSimulation world, Sidecar alone, List<Sidecar> all, Random random) {
        boolean both = random.nextBoolean();
        for (Sidecar other : all) {
            if (other != alone) {
                world.cut(other.name(), alone.name());
                if (both) {
                    world.cut(alone.name(), other.name());
                }
            }
        }
    }

    /** Majorities of the set before and of the set after need not meet, and both are in force within milliseconds. */
    @Property(tries = 1000, shrinking = ShrinkingMode.OFF)
    void aSetReplacedWithinALeaseGivesNoSecondHolder(@ForAll long seed) {
        Random random = new Random(seed);
        LeaseSimulation world = new LeaseSimulation(random, 3);
        List<AcceptorId> spares = List.of(world.spare().self(), world.spare().self());
        world.runUntil(3 * LEASE_MS + random.nextDouble() * LEASE_MS);
        for (int cuts = 0; cuts < 2; cuts++) {
            world.cut(
                    world.all().get(random.nextInt(3)).name(),
                    world.all().get(random.nextInt(3)).name());
        }
        world.runUntil(world.now() + random.nextDouble() * LEASE_MS);
        List<AcceptorId> wanted =
                new ArrayList<>(world.all().stream().map(Sidecar::self).toList());
        if (random.nextBoolean()) {
            wanted.addAll(spares);
        } else {
            wanted.set(random.nextInt(3), spares.get(0));
        }
        world.change(wanted);
        world.runUntil(world.now() + 3 * LEASE_MS);
        world.healAll();
        world.runUntil(world.now() + 2 * LEASE_MS);
        world.runUntilHeld(null, 2 * LEASE_MS);
    }
}
