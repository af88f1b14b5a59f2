package dewplank.singleton;

import dewplank.register.AcceptorId;
import dewplank.singleton.LeaseSimulation.SimulatedNode;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.ShrinkingMode;

/**
 * Two event sequences that broke the election when voters were identified by address instead of by disk. The simulation
 * fails if a fencing token is not higher than all earlier ones, or if there are two lease holders at the same time.
 */
class LeaseWipeTest {
    private static final double LEASE_MS = LeaseSimulation.LEASE_MS;

    /** One voter has not received the granted token, another loses it with its disk, and the third is killed. */
    @Property(tries = 1000, shrinking = ShrinkingMode.OFF)
    void noTokenIsGrantedTwiceAfterAWipeAKillAndAPartition(@ForAll long seed) {
        Random random = new Random(seed);
        LeaseSimulation simulation = new LeaseSimulation(random, 3);
        List<SimulatedNode> all = new ArrayList<>(simulation.voters());
        Collections.shuffle(all, random);
        SimulatedNode isolated = all.get(0);
        SimulatedNode wiped = all.get(1);
        SimulatedNode lost = all.get(2);
        isolate(simulation, isolated, all, random);
        simulation.runUntil(simulation.nowMs() + 1 + random.nextDouble() * 3 * LEASE_MS);
        wiped.wipe();
        simulation.runUntil(simulation.nowMs() + random.nextDouble() * 500);
        wiped.start(LEASE_MS);
        simulation.runUntil(simulation.nowMs() + random.nextDouble() * 2 * LEASE_MS);
        if (random.nextBoolean()) {
            replaceWipedMember(simulation);
        }
        simulation.runUntil(simulation.nowMs() + random.nextDouble() * LEASE_MS);
        simulation.healAll();
        lost.kill();
        simulation.runUntil(simulation.nowMs() + random.nextDouble() * 3 * LEASE_MS);
        isolate(simulation, random.nextBoolean() ? wiped : isolated, all, random);
        lost.start(LEASE_MS);
        simulation.runUntil(simulation.nowMs() + 3 * LEASE_MS);
        simulation.healAll();
        replaceWipedMember(simulation);
        simulation.runUntil(simulation.nowMs() + 2 * LEASE_MS);
        simulation.runUntilAcquired(null, 2 * LEASE_MS);
    }

    private static void replaceWipedMember(LeaseSimulation simulation) {
        List<AcceptorId> lost = simulation.wipedMembers();
        if (!lost.isEmpty() && !simulation.isChanging()) {
            simulation.replace(lost.get(0), simulation.identityAt(lost.get(0)));
        }
    }

    private static void isolate(
            LeaseSimulation simulation, SimulatedNode isolated, List<SimulatedNode> all, Random random) {
        boolean both = random.nextBoolean();
        for (SimulatedNode other : all) {
            if (other != isolated) {
                simulation.blockLink(other.name(), isolated.name());
                if (both) {
                    simulation.blockLink(isolated.name(), other.name());
                }
            }
        }
    }

    /** Majorities of the old and of the new set need not overlap, and both sets are current within milliseconds. */
    @Property(tries = 1000, shrinking = ShrinkingMode.OFF)
    void aSetThatChangesWithinALeaseElectsNoSecondHolder(@ForAll long seed) {
        Random random = new Random(seed);
        LeaseSimulation simulation = new LeaseSimulation(random, 3);
        List<AcceptorId> spares =
                List.of(simulation.addSpare().self(), simulation.addSpare().self());
        simulation.runUntil(3 * LEASE_MS + random.nextDouble() * LEASE_MS);
        for (int blocked = 0; blocked < 2; blocked++) {
            simulation.blockLink(
                    simulation.voters().get(random.nextInt(3)).name(),
                    simulation.voters().get(random.nextInt(3)).name());
        }
        simulation.runUntil(simulation.nowMs() + random.nextDouble() * LEASE_MS);
        List<AcceptorId> target = new ArrayList<>(
                simulation.voters().stream().map(SimulatedNode::self).toList());
        if (random.nextBoolean()) {
            target.addAll(spares);
        } else {
            target.set(random.nextInt(3), spares.get(0));
        }
        simulation.change(target);
        simulation.runUntil(simulation.nowMs() + 3 * LEASE_MS);
        simulation.healAll();
        simulation.runUntil(simulation.nowMs() + 2 * LEASE_MS);
        simulation.runUntilAcquired(null, 2 * LEASE_MS);
    }
}
