package dewplank.singleton;

import static org.junit.jupiter.api.Assertions.assertSame;
import static org.junit.jupiter.api.Assertions.assertTrue;

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
 * Random simulation runs with faults. Checks that there is at most one lease holder at a time, that fencing tokens
 * increase, and that a lease holder is elected in time after the faults. A failure prints its seed.
 */
class LeasePropertyTest {
    private static final double LEASE_MS = LeaseSimulation.LEASE_MS;
    /**
     * The maximum time until a lease holder is elected after all faults are repaired. Votes bind, and restarted voters
     * abstain, for one lease duration; the election delay and the vote rounds follow.
     */
    private static final double HEALED_BOUND_MS = 2.5 * LEASE_MS;

    private static final double FAULTS_MS = 10 * LEASE_MS;

    private static <T> T pick(Random random, List<T> values) {
        return values.get(random.nextInt(values.size()));
    }

    private static void injectFault(LeaseSimulation simulation, Random random) {
        SimulatedNode node = pick(random, simulation.voters());
        SimulatedNode other = pick(random, simulation.voters());
        double laterMs = simulation.nowMs() + random.nextDouble() * 2 * LEASE_MS;
        switch (random.nextInt(13)) {
            case 0, 1 -> {
                node.kill();
                simulation.at(laterMs, () -> node.start(LEASE_MS));
            }
            case 2, 3 -> {
                node.pause();
                simulation.at(laterMs, node::resume);
            }
            case 4 -> simulation.blockLink(node.name(), other.name());
            case 5 -> simulation.injectMessageFaults(
                    random.nextDouble() * 0.3, random.nextDouble() * 0.2, random.nextDouble() * 0.2);
            case 6 -> simulation.healAll();
            case 7, 8 -> simulation.changeVoters();
            case 9, 10 -> wipe(simulation, node, laterMs, random);
            case 11 -> {
                node.failDisk(true);
                simulation.at(laterMs, () -> node.failDisk(false));
            }
            default -> shutDownOrPartition(simulation, random, node, laterMs);
        }
    }

    /** Wipes a disk. Its new identity replaces the lost one early, late, or only after all faults are repaired. */
    private static void wipe(LeaseSimulation simulation, SimulatedNode node, double laterMs, Random random) {
        if (!simulation.toleratesWipeOf(node)) {
            return;
        }
        node.wipe();
        simulation.at(simulation.nowMs() + random.nextDouble() * 1_000, () -> node.start(LEASE_MS));
        simulation.at(laterMs, () -> replaceWipedMember(simulation));
    }

    private static void replaceWipedMember(LeaseSimulation simulation) {
        List<AcceptorId> wiped = simulation.wipedMembers();
        if (!wiped.isEmpty() && !simulation.isChanging()) {
            simulation.replace(wiped.get(0), simulation.identityAt(wiped.get(0)));
        }
    }

    private static void shutDownOrPartition(
            LeaseSimulation simulation, Random random, SimulatedNode node, double laterMs) {
        if (random.nextBoolean()) {
            if (node.isRunning()) {
                node.shutDown();
            }
            simulation.at(simulation.nowMs() + 100, node::kill);
            simulation.at(laterMs, () -> node.start(LEASE_MS));
            return;
        }
        for (SimulatedNode near : simulation.voters()) {
            for (SimulatedNode far : simulation.voters()) {
                if (near.name().compareTo(node.name()) < 0 != far.name().compareTo(node.name()) < 0) {
                    simulation.blockLink(near.name(), far.name());
                }
            }
        }
    }

    private static LeaseSimulation afterFaults(Random random) {
        LeaseSimulation simulation = new LeaseSimulation(random, 1 + random.nextInt(5));
        double end = FAULTS_MS * random.nextDouble();
        while (simulation.nowMs() < end) {
            simulation.runUntil(simulation.nowMs() + random.nextDouble() * LEASE_MS);
            injectFault(simulation, random);
        }
        return simulation;
    }

    /** Repairs all faults and completes changes of the voter set; then leaves a minority of the nodes down. */
    private static void heal(LeaseSimulation simulation, Random random) {
        simulation.healAll();
        for (SimulatedNode node : simulation.nodes()) {
            node.failDisk(false);
            node.resume();
            node.start(LEASE_MS);
        }
        double end = simulation.nowMs() + 10 * LEASE_MS;
        while (simulation.isChanging() || !simulation.wipedMembers().isEmpty()) {
            assertTrue(simulation.nowMs() < end, "the change of the voter set does not complete");
            replaceWipedMember(simulation);
            simulation.runUntil(simulation.nowMs() + 50);
        }
        List<SimulatedNode> nodes = new ArrayList<>(simulation.voters());
        Collections.shuffle(nodes, random);
        int down = random.nextInt((nodes.size() - 1) / 2 + 1);
        for (SimulatedNode node : nodes.subList(0, down)) {
            node.kill();
        }
        for (SimulatedNode node : nodes.subList(down, nodes.size())) {
            node.resume();
            node.start(LEASE_MS);
        }
    }

    @Property(tries = 1000, shrinking = ShrinkingMode.OFF)
    void hasOneLeaseHolderAtATimeAndElectsOneOnceAMajorityIsHealthy(@ForAll long seed) {
        Random random = new Random(seed);
        LeaseSimulation simulation = afterFaults(random);
        heal(simulation, random);
        // Waits for events that the faults have scheduled: late restarts, and messages delayed by seconds.
        simulation.runUntil(simulation.nowMs() + 2 * LEASE_MS);
        heal(simulation, random);
        // Scheduled changes of the voter set may have begun since. Their voters grant nothing to a new holder for the
        // duration of a lease.
        simulation.runUntilAcquired(null, HEALED_BOUND_MS);
        simulation.runUntil(simulation.nowMs() + HEALED_BOUND_MS);
        SimulatedNode holder = simulation.leaseHolder();
        long fencingToken = holder.fencingToken();
        simulation.runUntil(simulation.nowMs() + 3 * LEASE_MS);
        assertSame(holder, simulation.leaseHolder());
        assertTrue(holder.fencingToken() == fencingToken);
    }
}
