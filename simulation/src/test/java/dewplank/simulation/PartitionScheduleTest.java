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

/** Partitions at chosen moments and along chosen lines, each as a schedule of its own. */
class PartitionScheduleTest {
    private static final double PARTITION_MS = 6_000;
    private static final double MEAN_PAUSE_MS = 250;
    private static final Set<Integer> DEFINITE = Set.of(200, 400, 404, 409, 412);

    static LongStream seeds() {
        return LongStream.rangeClosed(1, 12);
    }

    /** Whom a partition takes at the moment of a message. */
    enum Moment {
        /** The proposer, between the rounds: it has its promises, and none of its requests to accept arrives. */
        BEFORE_ACCEPT,
        /** Each acceptor, between its synced write and its answer. */
        BEFORE_ACCEPTED,
        /** One acceptor, at the same moment. */
        BEFORE_FIRST_ACCEPTED
    }

    static Stream<Arguments> moments() {
        return Stream.of(Moment.values()).flatMap(moment -> seeds().mapToObj(seed -> Arguments.of(moment, seed)));
    }

    /** What was held up arrives when the partition heals, after other changes. */
    @ParameterizedTest
    @MethodSource("moments")
    void aChangeIsTakenOnceThoughAPartitionBeginsWithinItsRounds(Moment moment, long seed) {
        Schedule schedule = new Schedule(seed, 3 + (int) (seed % 3));
        schedule.fleet.contact().beyondTolerance();
        Set<Machine> cutOff = new HashSet<>();
        schedule.fleet.network().onSending((link, message) -> {
            if (isAt(moment, message, cutOff) && cutOff.add(link.from())) {
                schedule.cut(link.from(), schedule.fleet.machines(), true);
            }
        });
        schedule.operators.begin(schedule.fleet.time().now() + PARTITION_MS, MEAN_PAUSE_MS);
        schedule.play(PARTITION_MS);
        assertFalse(cutOff.isEmpty());
        schedule.fleet.network().onSending((link, message) -> {});
        cutOff.forEach(machine -> schedule.cut(machine, schedule.fleet.machines(), false));
        settle(schedule);
    }

    private static boolean isAt(Moment moment, Object message, Set<Machine> cutOff) {
        return switch (moment) {
            case BEFORE_ACCEPT -> message instanceof Accept && cutOff.isEmpty();
            case BEFORE_ACCEPTED -> message instanceof Accepted;
            case BEFORE_FIRST_ACCEPTED -> message instanceof Accepted && cutOff.isEmpty();
        };
    }

    /**
     * A successor and a data plane start with seeds that name one control plane, which is cut off from the others. The
     * successor confirms nothing, and both belong to the fleet once the partition has healed.
     */
    @ParameterizedTest
    @MethodSource("seeds")
    void processesWhoseSeedsNameOnlyAPartitionedControlPlaneWaitForTheOthers(long seed) {
        Schedule schedule = new Schedule(seed, 4);
        ControlMachine partitioned = schedule.core((int) (seed % 4));
        List<ControlMachine> others = new ArrayList<>(schedule.fleet.core());
        others.remove(partitioned);
        schedule.cut(partitioned, others, true);
        schedule.play(SimulatedFleet.CONTACT_MS);
        schedule.changes(3);
        List<String> seeds = List.of(partitioned.ip() + ":" + Machine.CONTROL_PORT);
        ControlMachine newcomer = schedule.fleet.newControl(seeds, false);
        DataMachine data = schedule.fleet.edge().get(0);
        data.seeds(seeds);
        schedule.fleet.contact().startedEmpty(newcomer);
        newcomer.start();
        schedule.faults.kill(data, 200, () -> {});
        schedule.play(PARTITION_MS);
        int status = schedule.attemptAt(newcomer, schedule.operators.nextPatch());
        assertFalse(DEFINITE.contains(status), "answered " + status);
        assertFalse(newcomer.process().holdsList());
        schedule.changes(3);
        schedule.cut(partitioned, others, false);
        settle(schedule);
        assertTrue(data.process().complete());
    }

    /** {@code core_cut} with {@code split}: neither half may do what the other does, and all others reach both. */
    @ParameterizedTest
    @MethodSource("seeds")
    void halvesOfTheCorePartAndHealByTurns(long seed) {
        Schedule schedule = new Schedule(seed, 3 + (int) (seed % 4));
        schedule.fleet.contact().beyondTolerance();
        SplittableRandom random = new SplittableRandom(seed);
        schedule.operators.begin(schedule.fleet.time().now() + 3 * PARTITION_MS, MEAN_PAUSE_MS);
        for (int turn = 0; turn < 3; turn++) {
            List<ControlMachine> one = new ArrayList<>(schedule.fleet.core());
            List<ControlMachine> other = new ArrayList<>();
            while (other.size() < one.size()) {
                other.add(one.remove(random.nextInt(one.size())));
            }
            schedule.cutAll(one, other, true);
            schedule.play(random.nextDouble() * PARTITION_MS);
            schedule.cutAll(one, other, false);
            schedule.play(random.nextDouble() * SimulatedFleet.CATCH_UP_MS);
        }
        settle(schedule);
    }

    /**
     * {@code core_cut} with {@code behind}: a minority misses changes; then one of the others loses its disk, the rest
     * are dark, and the partition heals. The minority and the empty disk are no majority: what was confirmed is not
     * overwritten, and is there once the rest are back.
     */
    @ParameterizedTest
    @MethodSource("seeds")
    void aMinorityThatMissedChangesAndAnEmptyDiskDecideNothing(long seed) {
        Schedule schedule = new Schedule(seed, 3 + 2 * (int) (seed % 2));
        schedule.fleet.contact().beyondTolerance();
        List<ControlMachine> core = schedule.fleet.core();
        int minority = (core.size() - 1) / 2;
        List<ControlMachine> behind = core.subList(0, minority);
        List<ControlMachine> ahead = core.subList(minority, core.size());
        schedule.cutAll(behind, ahead, true);
        schedule.play(500);
        schedule.changes(3);
        long confirmed = schedule.fleet.invariants().floor();
        schedule.faults.wipe(ahead.get(0), 300, () -> {});
        ahead.subList(1, ahead.size()).forEach(machine -> schedule.faults.powerLoss(machine, PARTITION_MS, () -> {}));
        schedule.play(200);
        schedule.cutAll(behind, ahead, false);
        OperatorChange change = schedule.operators.nextPatch();
        schedule.operators.send(change, then -> {});
        schedule.play(PARTITION_MS - 1_000);
        assertEquals(OperatorChange.State.OPEN, change.state);
        assertEquals(confirmed, schedule.fleet.invariants().floor());
        settle(schedule);
    }

    /** Zones part from each other; one is lost while a machine of another is being replaced. */
    @ParameterizedTest
    @ValueSource(ints = {2, 3, 4, 5, 6})
    void zonesPartAndOneIsLostDuringAReplacement(int zones) {
        for (long seed = 1; seed <= 6; seed++) {
            Schedule schedule = new Schedule(seed * 100 + zones, 6);
            schedule.fleet.contact().beyondTolerance();
            SplittableRandom random = new SplittableRandom(seed);
            schedule.operators.begin(schedule.fleet.time().now() + 2 * PARTITION_MS, MEAN_PAUSE_MS);
            List<ControlMachine> lostZone = zone(schedule, 0, zones);
            for (int zone = 1; zone < zones; zone++) {
                cutZone(schedule, zone, zones, true);
            }
            schedule.play(random.nextDouble() * PARTITION_MS);
            for (int zone = 1; zone < zones; zone++) {
                cutZone(schedule, zone, zones, false);
            }
            schedule.faults.replace(schedule.core(1), random.nextDouble() * 1_000, () -> {});
            schedule.play(random.nextDouble() * 2_000);
            lostZone.forEach(machine -> schedule.faults.powerLoss(machine, PARTITION_MS, () -> {}));
            schedule.play(PARTITION_MS);
            settle(schedule);
        }
    }

    private static List<ControlMachine> zone(Schedule schedule, int zone, int zones) {
        List<ControlMachine> machines = new ArrayList<>();
        for (int index = zone; index < schedule.fleet.core().size(); index += zones) {
            machines.add(schedule.core(index));
        }
        return machines;
    }

    /** Between this zone and those before it. */
    private static void cutZone(Schedule schedule, int zone, int zones, boolean begins) {
        for (int before = 0; before < zone; before++) {
            schedule.cutAll(zone(schedule, zone, zones), zone(schedule, before, zones), begins);
        }
    }

    /** Nothing is disturbed any more: every change is answered, and everyone has what was confirmed. */
    private static void settle(Schedule schedule) {
        schedule.until(SimulatedFleet.RECOVERY_MS, "all is answered", () -> schedule.operators
                .open()
                .isEmpty());
        schedule.until(SimulatedFleet.RECOVERY_MS, "all run", () -> schedule.fleet.machines().stream()
                .allMatch(Machine::runs));
        schedule.change();
        schedule.awaitAllCaughtUp(SimulatedFleet.RECOVERY_MS);
        schedule.fleet.invariants().checkEnd(schedule.core(0).process().configuration());
    }
}
