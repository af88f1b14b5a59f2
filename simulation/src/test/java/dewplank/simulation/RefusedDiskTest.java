package dewplank.simulation;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dewplank.register.AcceptorSet;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.function.BooleanSupplier;
import java.util.stream.LongStream;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Control planes whose disk is unusable when they start. They serve without a vote, report that in their status,
 * confirm and reject nothing, and resume the vote stored on their disk when it becomes usable. {@link InvariantChecker}
 * checks the invariants meanwhile.
 */
class RefusedDiskTest {
    private static final double CHANGES_UNTIL_MS = 8_000;
    private static final double MEAN_INTERVAL_MS = 250;
    private static final double STEP_MS = 50;
    private static final double MAX_UNUSABLE_MS = 6_000;
    private static final Set<Integer> DEFINITE_STATUSES = Set.of(200, 400, 404, 409, 412);

    /** A lost machine is replaced by one with an empty disk that rejects all writes. */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 6})
    void aSuccessorWithAFullDiskServesWithoutAVoteUntilItCanWrite(long seed) {
        Schedule schedule = new Schedule(seed, 3);
        schedule.fleet.contact().allowFaultsBeyondTolerance();
        schedule.core((int) (seed % 3)).remove();
        ControlMachine successor = schedule.fleet.addControlMachine(schedule.fleet.firstSeeds(), false);
        schedule.fleet.contact().recordStartWithEmptyDisk(successor);
        successor.disk().setFull(true);
        successor.start();
        schedule.run(2 * SimulatedFleet.CATCH_UP_MS);
        assertServesWithoutAVote(schedule, successor);
        schedule.makeChanges(3);
        successor.disk().setFull(false);
        schedule.runUntil(
                SimulatedFleet.CATCH_UP_MS, "the successor votes", () -> isAcceptor(schedule.core(0), successor));
        assertFalse(successor.process().isDiskRefused());
        schedule.run(SimulatedFleet.CATCH_UP_MS);
        schedule.core(0).remove();
        schedule.makeChanges(3);
        schedule.awaitAllCaughtUp(SimulatedFleet.CATCH_UP_MS);
    }

    /** An acceptor restarts and the first sync of its disk fails: it later resumes with the same identity. */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 6})
    void anAcceptorWhoseFirstSyncFailsResumesItsVoteLater(long seed) {
        Schedule schedule = new Schedule(seed, 3);
        schedule.fleet.contact().allowFaultsBeyondTolerance();
        schedule.makeChanges(3);
        ControlMachine restarted = schedule.core((int) (seed % 3));
        String identity = restarted.process().identity();
        restarted.kill();
        restarted.disk().setSyncFailing(true);
        restarted.start();
        schedule.makeChanges(3);
        assertServesWithoutAVote(schedule, restarted);
        restarted.disk().setSyncFailing(false);
        schedule.runUntil(
                SimulatedFleet.CATCH_UP_MS,
                "the acceptor votes again",
                () -> restarted.isRunning() && restarted.process().identity().equals(identity));
        schedule.run(SimulatedFleet.CATCH_UP_MS);
        schedule.core((int) ((seed + 1) % 3)).kill();
        schedule.makeChanges(3);
        schedule.awaitAllCaughtUp(SimulatedFleet.CATCH_UP_MS);
    }

    static LongStream seeds() {
        return LongStream.rangeClosed(1, 60);
    }

    /**
     * Disks of founders reject all writes for some seconds after the first start, and processes restart meanwhile.
     * Exactly one fleet is founded, and its acceptor set is complete in the end.
     */
    @ParameterizedTest
    @MethodSource("seeds")
    void aFleetIsFoundedOnceWhileDisksOfFoundersAreUnusable(long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        SimulatedFleet fleet = new SimulatedFleet(3 + random.nextInt(3), 0, 3, random.split());
        fleet.contact().allowFaultsBeyondTolerance();
        fleet.core().forEach(ControlMachine::keepInitialStart);
        FaultInjector faults = new FaultInjector(fleet, random.split());
        int unusableCount = 1 + random.nextInt(3);
        for (ControlMachine founder : fleet.core().subList(0, unusableCount)) {
            founder.disk().setFull(true);
            fleet.time().after(random.nextDouble() * MAX_UNUSABLE_MS, () -> founder.disk()
                    .setFull(false));
        }
        for (ControlMachine control : fleet.core()) {
            if (random.nextBoolean()) {
                double killAtMs = random.nextDouble() * MAX_UNUSABLE_MS;
                fleet.time().after(killAtMs, () -> faults.kill(control, random.nextDouble() * 500, () -> {}));
            }
        }
        Operators operators = new Operators(fleet, random.split());
        fleet.start();
        operators.start(CHANGES_UNTIL_MS, MEAN_INTERVAL_MS);
        fleet.time().runUntil(CHANGES_UNTIL_MS);
        runUntil(fleet, () -> operators.openChanges().isEmpty() && isComplete(fleet));
        fleet.invariants().checkFinalConfiguration(fleet.core().get(0).process().configuration());
    }

    /**
     * Whether all control planes have the last confirmed change, and the acceptors are three or more machines with a
     * usable disk.
     */
    private static boolean isComplete(SimulatedFleet fleet) {
        ControlMachine first = fleet.core().get(0);
        long newest = fleet.invariants().versionFloor();
        if (!fleet.core().stream()
                .allMatch(control -> control.isRunning() && control.process().version() >= newest)) {
            return false;
        }
        AcceptorSet acceptors = first.process().acceptors();
        long live = fleet.core().stream()
                .filter(control ->
                        isAcceptor(first, control) && !control.process().isDiskRefused())
                .count();
        return !acceptors.isJoint() && live >= 3 && live == acceptors.members().size();
    }

    private static void runUntil(SimulatedFleet fleet, BooleanSupplier condition) {
        double endMs = fleet.time().now() + SimulatedFleet.RECOVERY_MS;
        while (!condition.getAsBoolean()) {
            fleet.invariants().check(fleet.time().now() < endMs, "the acceptors are not complete in time");
            fleet.time().runUntil(fleet.time().now() + STEP_MS);
        }
    }

    private static boolean isAcceptor(ControlMachine queried, ControlMachine control) {
        return queried.process().acceptors().members().stream().anyMatch(acceptor -> acceptor.identity()
                .equals(control.process().identity()));
    }

    private static void assertServesWithoutAVote(Schedule schedule, ControlMachine control) {
        assertTrue(control.process().isDiskRefused());
        assertTrue(
                control.process().status().contains("\"disk_refused\":true"),
                control.process().status());
        assertFalse(control.process().isListLeaseHolder());
        assertFalse(isAcceptor(schedule.fleet.core().get(0), control));
        int status = schedule.sendOnce(control, schedule.operators.newPatch());
        assertFalse(DEFINITE_STATUSES.contains(status), "responded with " + status);
        assertEquals(
                0,
                schedule.fleet.core().stream()
                        .filter(other -> other != control && other.process().isDiskRefused())
                        .count());
    }
}
