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
 * Control planes whose disk can't be used when they start. They serve without a vote, say so, confirm and reject
 * nothing, and take up the vote that their disk has when it can be used. {@link InvariantChecker} holds meanwhile.
 */
class RefusedDiskTest {
    private static final double CHANGES_UNTIL_MS = 8_000;
    private static final double MEAN_PAUSE_MS = 250;
    private static final double STEP_MS = 50;
    private static final double MAX_REFUSED_MS = 6_000;
    private static final Set<Integer> DEFINITE = Set.of(200, 400, 404, 409, 412);

    /** A machine with an empty disk that refuses everything takes a lost one's place. */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 6})
    void aSuccessorWithAFullDiskServesWithoutAVoteUntilItCanWrite(long seed) {
        Schedule schedule = new Schedule(seed, 3);
        schedule.fleet.contact().beyondTolerance();
        schedule.core((int) (seed % 3)).remove();
        ControlMachine successor = schedule.fleet.newControl(schedule.fleet.firstSeeds(), false);
        schedule.fleet.contact().startedEmpty(successor);
        successor.disk().fill(true);
        successor.start();
        schedule.play(2 * SimulatedFleet.CATCH_UP_MS);
        assertServesWithoutAVote(schedule, successor);
        schedule.changes(3);
        successor.disk().fill(false);
        schedule.until(SimulatedFleet.CATCH_UP_MS, "it votes", () -> isAcceptor(schedule.core(0), successor));
        assertFalse(successor.process().isDiskRefused());
        schedule.play(SimulatedFleet.CATCH_UP_MS);
        schedule.core(0).remove();
        schedule.changes(3);
        schedule.awaitAllCaughtUp(SimulatedFleet.CATCH_UP_MS);
    }

    /** An acceptor restarts, and its disk refuses the first sync: it comes back as the acceptor that it was. */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 6})
    void anAcceptorWhoseFirstSyncIsRefusedTakesUpItsOwnVoteLater(long seed) {
        Schedule schedule = new Schedule(seed, 3);
        schedule.fleet.contact().beyondTolerance();
        schedule.changes(3);
        ControlMachine restarted = schedule.core((int) (seed % 3));
        String identity = restarted.process().identity();
        restarted.kill();
        restarted.disk().failSync(true);
        restarted.start();
        schedule.changes(3);
        assertServesWithoutAVote(schedule, restarted);
        restarted.disk().failSync(false);
        schedule.until(
                SimulatedFleet.CATCH_UP_MS,
                "it votes",
                () -> restarted.runs() && restarted.process().identity().equals(identity));
        schedule.play(SimulatedFleet.CATCH_UP_MS);
        schedule.core((int) ((seed + 1) % 3)).kill();
        schedule.changes(3);
        schedule.awaitAllCaughtUp(SimulatedFleet.CATCH_UP_MS);
    }

    static LongStream seeds() {
        return LongStream.rangeClosed(1, 60);
    }

    /**
     * Disks of founders refuse all for some seconds from the first start on, and processes restart meanwhile: one
     * fleet is founded, and its set of acceptors is complete in the end.
     */
    @ParameterizedTest
    @MethodSource("seeds")
    void aFleetIsFoundedOnceThoughDisksOfFoundersAreRefused(long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        SimulatedFleet fleet = new SimulatedFleet(3 + random.nextInt(3), 0, 3, random.split());
        fleet.contact().beyondTolerance();
        fleet.core().forEach(ControlMachine::keepInitialSettings);
        FaultInjector faults = new FaultInjector(fleet, random.split());
        int refused = 1 + random.nextInt(3);
        for (ControlMachine founder : fleet.core().subList(0, refused)) {
            founder.disk().fill(true);
            fleet.time().after(random.nextDouble() * MAX_REFUSED_MS, () -> founder.disk()
                    .fill(false));
        }
        for (ControlMachine control : fleet.core()) {
            if (random.nextBoolean()) {
                double killAtMs = random.nextDouble() * MAX_REFUSED_MS;
                fleet.time().after(killAtMs, () -> faults.kill(control, random.nextDouble() * 500, () -> {}));
            }
        }
        Operators operators = new Operators(fleet, random.split());
        fleet.start();
        operators.begin(CHANGES_UNTIL_MS, MEAN_PAUSE_MS);
        fleet.time().playUntil(CHANGES_UNTIL_MS);
        until(fleet, () -> operators.open().isEmpty() && isComplete(fleet));
        fleet.invariants().checkEnd(fleet.core().get(0).process().configuration());
    }

    /** All have what was confirmed last; three or more of them, which use their disks, are the acceptors. */
    private static boolean isComplete(SimulatedFleet fleet) {
        ControlMachine first = fleet.core().get(0);
        long newest = fleet.invariants().floor();
        if (!fleet.core().stream()
                .allMatch(control -> control.runs() && control.process().version() >= newest)) {
            return false;
        }
        AcceptorSet acceptors = first.process().acceptors();
        long live = fleet.core().stream()
                .filter(control ->
                        isAcceptor(first, control) && !control.process().isDiskRefused())
                .count();
        return !acceptors.isJoint() && live >= 3 && live == acceptors.members().size();
    }

    private static void until(SimulatedFleet fleet, BooleanSupplier condition) {
        double endMs = fleet.time().now() + SimulatedFleet.RECOVERY_MS;
        while (!condition.getAsBoolean()) {
            fleet.invariants().check(fleet.time().now() < endMs, "the acceptors are not complete in time");
            fleet.time().playUntil(fleet.time().now() + STEP_MS);
        }
    }

    private static boolean isAcceptor(ControlMachine asked, ControlMachine control) {
        return asked.process().acceptors().members().stream().anyMatch(acceptor -> acceptor.identity()
                .equals(control.process().identity()));
    }

    private static void assertServesWithoutAVote(Schedule schedule, ControlMachine control) {
        assertTrue(control.process().isDiskRefused());
        assertTrue(
                control.process().status().contains("\"disk_refused\":true"),
                control.process().status());
        assertFalse(control.process().holdsList());
        assertFalse(isAcceptor(schedule.fleet.core().get(0), control));
        int status = schedule.attemptAt(control, schedule.operators.nextPatch());
        assertFalse(DEFINITE.contains(status), "answered " + status);
        assertEquals(
                0,
                schedule.fleet.core().stream()
                        .filter(other -> other != control && other.process().isDiskRefused())
                        .count());
    }
}
