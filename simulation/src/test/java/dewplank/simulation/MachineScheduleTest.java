package dewplank.simulation;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dewplank.membership.Member;
import java.util.List;
import java.util.SplittableRandom;
import java.util.stream.LongStream;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;
import org.junit.jupiter.params.provider.ValueSource;

/** What happens to machines at chosen moments: power, processors, clocks and disks, each as a schedule of its own. */
class MachineScheduleTest {
    private static final double QUOTA_RUN_MS = 30;
    private static final double QUOTA_STAND_MS = 70;
    private static final double QUOTA_MS = 20_000;
    /** A session's lease (2 s), a heartbeat between control planes and a data plane's next attempt to connect. */
    private static final double SESSION_MS = 3_500;
    /** A quarter of {@code disk_mb}, beyond which the store is rewritten. */
    private static final long STORE_BOUND_BYTES = (2L << 20) / 4;
    /** More than any lease, session or agreement lasts. */
    private static final double CLOCK_STEP_MS = 60_000;

    static LongStream seeds() {
        return LongStream.rangeClosed(1, 20);
    }

    /** Disks are kept file by file, each as its last sync left it. */
    @ParameterizedTest
    @MethodSource("seeds")
    void whatIsAcknowledgedLastsWhenAllLosePowerAtOnce(long seed) {
        Schedule schedule = new Schedule(seed, 3 + (int) (seed % 3));
        for (int turn = 0; turn < 4; turn++) {
            schedule.change();
            loseAllPower(schedule);
        }
        schedule.change();
        schedule.awaitAllCaughtUp(SimulatedFleet.CATCH_UP_MS);
    }

    /** Two machines are added and the set of acceptors grows, or one is replaced; power goes at any moment of that. */
    @ParameterizedTest
    @MethodSource("seeds")
    void whatIsAcknowledgedLastsWhenAllLosePowerDuringAChangeOfAcceptors(long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        for (boolean grows : new boolean[] {true, false}) {
            Schedule schedule = new Schedule(seed, 3);
            schedule.fleet.contact().beyondTolerance();
            schedule.changes(3);
            if (grows) {
                start(schedule);
                start(schedule);
            } else {
                schedule.core(random.nextInt(3)).remove();
                start(schedule);
            }
            schedule.play(random.nextDouble() * SimulatedFleet.CATCH_UP_MS);
            loseAllPower(schedule);
            schedule.changes(2);
            schedule.awaitAllCaughtUp(SimulatedFleet.RECOVERY_MS);
            schedule.until(SimulatedFleet.RECOVERY_MS, "the set is complete", () -> isSetComplete(schedule));
        }
    }

    private static void start(Schedule schedule) {
        ControlMachine started = schedule.fleet.newControl(schedule.fleet.firstSeeds(), false);
        schedule.fleet.contact().startedEmpty(started);
        started.start();
    }

    private static boolean isSetComplete(Schedule schedule) {
        List<String> identities = schedule.fleet.core().stream()
                .map(control -> control.process().identity())
                .toList();
        return schedule.core(0).process().acceptors().members().stream()
                        .filter(acceptor -> identities.contains(acceptor.identity()))
                        .count()
                == schedule.fleet.core().size();
    }

    /** All come back within half a second. */
    private static void loseAllPower(Schedule schedule) {
        SplittableRandom random =
                new SplittableRandom((long) schedule.fleet.time().now());
        schedule.fleet.machines().forEach(machine -> {
            schedule.fleet.contact().disturbed(machine);
            schedule.faults.powerLoss(machine, random.nextDouble() * 500, () -> {});
        });
        schedule.play(600);
        schedule.until(SimulatedFleet.RECOVERY_MS, "a data plane has all again", () -> schedule.fleet.edge().stream()
                .allMatch(data -> data.process().complete()));
    }

    /**
     * A processor as a quota: of each 100 ms a process runs for 30 and stands for 70, on some machines or on all. No
     * lease and no session is lost to that, and changes are confirmed in time.
     */
    @ParameterizedTest
    @ValueSource(ints = {1, 3, 6})
    void aQuotaOfTheProcessorCostsNoLease(int machines) {
        for (long seed = 1; seed <= 5; seed++) {
            Schedule schedule = new Schedule(seed, 3);
            ControlMachine holder = holder(schedule);
            long token = holder.process().fencingToken();
            double untilMs = schedule.fleet.time().now() + QUOTA_MS;
            SplittableRandom random = new SplittableRandom(seed);
            for (Machine machine : schedule.fleet.machines().subList(0, machines)) {
                schedule.fleet
                        .time()
                        .after(
                                random.nextDouble() * 100,
                                () -> schedule.faults.quota(machine, QUOTA_RUN_MS, QUOTA_STAND_MS, untilMs));
            }
            while (schedule.fleet.time().now() < untilMs) {
                schedule.change();
                schedule.play(100);
            }
            schedule.play(200);
            assertTrue(holder.process().holdsList());
            assertEquals(token, holder.process().fencingToken());
            schedule.awaitAllCaughtUp(SimulatedFleet.CATCH_UP_MS);
        }
    }

    private static ControlMachine holder(Schedule schedule) {
        schedule.until(SimulatedFleet.CONTACT_MS, "the role is held", () -> schedule.fleet.core().stream()
                .anyMatch(control -> control.process().holdsList()));
        return schedule.fleet.core().stream()
                .filter(control -> control.process().holdsList())
                .findFirst()
                .orElseThrow();
    }

    /** Clocks are set back by a minute while processes restart: nobody is taken for an earlier incarnation. */
    @ParameterizedTest
    @MethodSource("seeds")
    void clocksThatAreSetBackUnderRestartsChangeNothing(long seed) {
        Schedule schedule = new Schedule(seed, 3);
        SplittableRandom random = new SplittableRandom(seed);
        for (int turn = 0; turn < 4; turn++) {
            ControlMachine control = schedule.core(random.nextInt(3));
            DataMachine data = schedule.fleet.edge().get(random.nextInt(3));
            control.stepClock(-CLOCK_STEP_MS);
            data.stepClock(-CLOCK_STEP_MS);
            schedule.faults.kill(control, random.nextDouble() * 500, () -> {});
            schedule.faults.powerLoss(data, random.nextDouble() * 500, () -> {});
            schedule.change();
            schedule.play(SimulatedFleet.CATCH_UP_MS);
        }
        schedule.awaitAllCaughtUp(SimulatedFleet.CATCH_UP_MS);
    }

    /**
     * A restarted data plane whose clock is behind its earlier incarnation's: the earlier one is named until its
     * session ends, at the same address, so peers reach the present one all the same; it is named once all the time.
     */
    @ParameterizedTest
    @MethodSource("seeds")
    void aRestartedDataPlaneWhoseClockWasSetBackStaysTheOneMemberThatItIs(long seed) {
        Schedule schedule = new Schedule(seed, 3);
        schedule.play(SESSION_MS);
        DataMachine restarted = schedule.fleet.edge().get((int) (seed % 3));
        restarted.stepClock(-CLOCK_STEP_MS);
        boolean powerLost = seed % 2 == 0;
        double downMs = seed * 30;
        if (powerLost) {
            schedule.faults.powerLoss(restarted, downMs, () -> {});
        } else {
            schedule.faults.kill(restarted, downMs, () -> {});
        }
        schedule.play(downMs + SESSION_MS);
        long present = restarted.incarnationAtStart();
        for (ControlMachine control : schedule.fleet.core()) {
            List<Member> members = control.process().members();
            assertEquals(3, members.size());
            Member named = members.stream()
                    .filter(member -> member.node.equals(restarted.name()))
                    .findFirst()
                    .orElseThrow();
            assertEquals(present, named.incarnation);
        }
    }

    /** The store has grown to its bound, and the disk is full: the file can't be rewritten, and lasts as it is. */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3})
    void aStoreAtItsBoundOnAFullDiskKeepsWhatItHas(long seed) {
        Schedule schedule = new Schedule(seed, 3);
        ControlMachine full = schedule.core((int) (seed % 3));
        schedule.changes(40);
        assertTrue(full.disk().maxTotalBytes() > STORE_BOUND_BYTES, full.disk().maxTotalBytes() + " bytes");
        schedule.fleet.contact().disturbed(full);
        full.disk().fill(true);
        schedule.changes(40);
        full.kill();
        full.start();
        schedule.changes(5);
        schedule.awaitAllCaughtUp(SimulatedFleet.CATCH_UP_MS);
        full.disk().fill(false);
        schedule.changes(40);
        schedule.play(SimulatedFleet.CATCH_UP_MS);
        schedule.core((int) ((seed + 1) % 3)).kill();
        schedule.changes(5);
        schedule.awaitAllCaughtUp(SimulatedFleet.CATCH_UP_MS);
    }
}
