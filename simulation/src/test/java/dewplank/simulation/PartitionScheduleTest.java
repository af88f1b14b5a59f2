package dewplank.simulation;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dewplank.register.Accept;
import dewplank.register.Accepted;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.stream.LongStream;
import java.util.stream.Stream;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Partitions that begin at chosen messages or separate chosen groups of machines; each test is a separate schedule. */
class PartitionScheduleTest {
    private static final double PARTITION_MS = 6_000;
    private static final double MEAN_INTERVAL_MS = 250;
    private static final Set<Integer> DEFINITE_STATUSES = Set.of(200, 400, 404, 409, 412);

    static LongStream seeds() {
        return LongStream.rangeClosed(1, 12);
    }

    /** The message at which a partition begins, and the machines that it isolates. */
    enum Moment {
        /** Isolates the proposer between the two phases: it has promises, but no accept message arrives. */
        BEFORE_ACCEPT,
        /** Isolates each acceptor between its synced write and its reply. */
        BEFORE_ACCEPTED,
        /** Isolates one acceptor between its synced write and its reply. */
        BEFORE_FIRST_ACCEPTED
    }

    static Stream<Arguments> moments() {
        return Stream.of(Moment.values()).flatMap(moment -> seeds().mapToObj(seed -> Arguments.of(moment, seed)));
    }

    /**
     * Partitions begin while a change is being chosen. The messages that they delay arrive when they heal, after other
     * changes.
     */
    @ParameterizedTest
    @MethodSource("moments")
    void aChangeIsAppliedOnceWhenAPartitionBeginsDuringItsPhases(Moment moment, long seed) {
        Schedule schedule = new Schedule(seed, 3 + (int) (seed % 3));
        schedule.fleet.contact().allowFaultsBeyondTolerance();
        Set<Machine> isolated = new HashSet<>();
        schedule.fleet.network().setSendObserver((link, message) -> {
            if (isAtMoment(moment, message, isolated) && isolated.add(link.from())) {
                schedule.setPartitioned(link.from(), schedule.fleet.machines(), true);
            }
        });
        schedule.operators.start(schedule.fleet.time().now() + PARTITION_MS, MEAN_INTERVAL_MS);
        schedule.run(PARTITION_MS);
        assertFalse(isolated.isEmpty());
        schedule.fleet.network().setSendObserver((link, message) -> {});
        isolated.forEach(machine -> schedule.setPartitioned(machine, schedule.fleet.machines(), false));
        awaitRecovery(schedule);
    }

    private static boolean isAtMoment(Moment moment, Object message, Set<Machine> isolated) {
        return switch (moment) {
            case BEFORE_ACCEPT -> message instanceof Accept && isolated.isEmpty();
            case BEFORE_ACCEPTED -> message instanceof Accepted;
            case BEFORE_FIRST_ACCEPTED -> message instanceof Accepted && isolated.isEmpty();
        };
    }

    /**
     * A successor and a data plane start with a single seed, a control plane that is partitioned from the others. The
     * successor confirms nothing, and both join the fleet once the partition has healed.
     */
    @ParameterizedTest
    @MethodSource("seeds")
    void processesSeededOnlyWithAPartitionedControlPlaneJoinOnceItHeals(long seed) {
        Schedule schedule = new Schedule(seed, 4);
        ControlMachine partitioned = schedule.core((int) (seed % 4));
        List<ControlMachine> others = new ArrayList<>(schedule.fleet.core());
        others.remove(partitioned);
        schedule.setPartitioned(partitioned, others, true);
        schedule.run(SimulatedFleet.CONTACT_MS);
        schedule.makeChanges(3);
        List<String> seeds = List.of(partitioned.ip() + ":" + Machine.CONTROL_PORT);
        ControlMachine successor = schedule.fleet.addControlMachine(seeds, false);
        DataMachine data = schedule.fleet.edge().get(0);
        data.changeSeeds(seeds);
        schedule.fleet.contact().recordStartWithEmptyDisk(successor);
        successor.start();
        schedule.faults.kill(data, 200, () -> {});
        schedule.run(PARTITION_MS);
        int status = schedule.sendOnce(successor, schedule.operators.newPatch());
        assertFalse(DEFINITE_STATUSES.contains(status), "responded with " + status);
        assertFalse(successor.process().isListLeaseHolder());
        schedule.makeChanges(3);
        schedule.setPartitioned(partitioned, others, false);
        awaitRecovery(schedule);
        assertTrue(data.process().isComplete());
    }

    /**
     * The fault {@code core_cut} with {@code split}: the halves of the core must not both confirm changes. Other
     * machines reach both halves.
     */
    @ParameterizedTest
    @MethodSource("seeds")
    void changesAreConsistentWhenTheCoreIsRepeatedlySplit(long seed) {
        Schedule schedule = new Schedule(seed, 3 + (int) (seed % 4));
        schedule.fleet.contact().allowFaultsBeyondTolerance();
        SplittableRandom random = new SplittableRandom(seed);
        schedule.operators.start(schedule.fleet.time().now() + 3 * PARTITION_MS, MEAN_INTERVAL_MS);
        for (int round = 0; round < 3; round++) {
            List<ControlMachine> firstPart = new ArrayList<>(schedule.fleet.core());
            List<ControlMachine> secondPart = new ArrayList<>();
            while (secondPart.size() < firstPart.size()) {
                secondPart.add(firstPart.remove(random.nextInt(firstPart.size())));
            }
            schedule.setAllPartitioned(firstPart, secondPart, true);
            schedule.run(random.nextDouble() * PARTITION_MS);
            schedule.setAllPartitioned(firstPart, secondPart, false);
            schedule.run(random.nextDouble() * SimulatedFleet.CATCH_UP_MS);
        }
        awaitRecovery(schedule);
    }

    /**
     * The fault {@code core_cut} with {@code behind}: a minority misses changes; then one of the others loses its disk,
     * the rest lose power, and the partition heals. The minority and the machine with the empty disk are no majority:
     * confirmed changes are not overwritten, and are available once the rest are running again.
     */
    @ParameterizedTest
    @MethodSource("seeds")
    void aMinorityThatMissedChangesConfirmsNothingWithAnEmptyDisk(long seed) {
        Schedule schedule = new Schedule(seed, 3 + 2 * (int) (seed % 2));
        schedule.fleet.contact().allowFaultsBeyondTolerance();
        List<ControlMachine> core = schedule.fleet.core();
        int minority = (core.size() - 1) / 2;
        List<ControlMachine> behind = core.subList(0, minority);
        List<ControlMachine> ahead = core.subList(minority, core.size());
        schedule.setAllPartitioned(behind, ahead, true);
        schedule.run(500);
        schedule.makeChanges(3);
        long confirmed = schedule.fleet.invariants().versionFloor();
        schedule.faults.wipe(ahead.get(0), 300, () -> {});
        ahead.subList(1, ahead.size()).forEach(machine -> schedule.faults.powerLoss(machine, PARTITION_MS, () -> {}));
        schedule.run(200);
        schedule.setAllPartitioned(behind, ahead, false);
        OperatorChange change = schedule.operators.newPatch();
        schedule.operators.send(change, done -> {});
        schedule.run(PARTITION_MS - 1_000);
        assertEquals(OperatorChange.State.OPEN, change.state);
        assertEquals(confirmed, schedule.fleet.invariants().versionFloor());
        awaitRecovery(schedule);
    }

    /** Zones are partitioned from each other; after healing, one zone is lost while a machine is being replaced. */
    @ParameterizedTest
    @ValueSource(ints = {2, 3, 4, 5, 6})
    void changesSurviveZonePartitionsAndAZoneLossDuringAReplacement(int zones) {
        for (long seed = 1; seed <= 6; seed++) {
            Schedule schedule = new Schedule(seed * 100 + zones, 6);
            schedule.fleet.contact().allowFaultsBeyondTolerance();
            SplittableRandom random = new SplittableRandom(seed);
            schedule.operators.start(schedule.fleet.time().now() + 2 * PARTITION_MS, MEAN_INTERVAL_MS);
            List<ControlMachine> lostZone = zone(schedule, 0, zones);
            for (int zone = 1; zone < zones; zone++) {
                setZonePartitioned(schedule, zone, zones, true);
            }
            schedule.run(random.nextDouble() * PARTITION_MS);
            for (int zone = 1; zone < zones; zone++) {
                setZonePartitioned(schedule, zone, zones, false);
            }
            schedule.faults.replace(schedule.core(1), random.nextDouble() * 1_000, () -> {});
            schedule.run(random.nextDouble() * 2_000);
            lostZone.forEach(machine -> schedule.faults.powerLoss(machine, PARTITION_MS, () -> {}));
            schedule.run(PARTITION_MS);
            awaitRecovery(schedule);
        }
    }

    private static List<ControlMachine> zone(Schedule schedule, int zone, int zones) {
        List<ControlMachine> machines = new ArrayList<>();
        for (int index = zone; index < schedule.fleet.core().size(); index += zones) {
            machines.add(schedule.core(index));
        }
        return machines;
    }

    /** Partitions this zone from the zones with lower numbers, or heals that partition. */
    private static void setZonePartitioned(Schedule schedule, int zone, int zones, boolean partitioned) {
        for (int lower = 0; lower < zone; lower++) {
            schedule.setAllPartitioned(zone(schedule, zone, zones), zone(schedule, lower, zones), partitioned);
        }
    }

    /** After the last fault, every change gets a definite response and every process has all confirmed changes. */
    private static void awaitRecovery(Schedule schedule) {
        schedule.runUntil(SimulatedFleet.RECOVERY_MS, "all changes have a response", () -> schedule.operators
                .openChanges()
                .isEmpty());
        schedule.runUntil(
                SimulatedFleet.RECOVERY_MS, "all machines are running", () -> schedule.fleet.machines().stream()
                        .allMatch(Machine::isRunning));
        schedule.makeChange();
        schedule.awaitAllCaughtUp(SimulatedFleet.RECOVERY_MS);
        schedule.fleet
                .invariants()
                .checkFinalConfiguration(schedule.core(0).process().configuration());
    }
}
