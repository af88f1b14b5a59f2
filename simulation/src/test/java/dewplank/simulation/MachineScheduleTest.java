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

/** Faults of power, processors, clocks and disks at chosen moments; each test is a separate schedule. */
class MachineScheduleTest {
    private static final double QUOTA_RUN_MS = 30;
    private static final double QUOTA_PAUSE_MS = 70;
    private static final double QUOTA_MS = 20_000;
    /**
     * Time that covers a session's lease (2 s), a heartbeat between control planes and a data plane's next connect
     * attempt.
     */
    private static final double SESSION_MS = 3_500;
    /** The size above which the store is rewritten: a quarter of {@code disk_mb}. */
    private static final long STORE_LIMIT_BYTES = (2L << 20) / 4;
    /** The step by which clocks are set back: longer than any lease, session or agreement. */
    private static final double CLOCK_STEP_MS = 60_000;

    static LongStream seeds() {
        return LongStream.rangeClosed(1, 20);
    }

    /** After a power loss each file of a disk has at least the state of its last sync. */
    @ParameterizedTest
    @MethodSource("seeds")
    void acknowledgedChangesSurviveASimultaneousPowerLoss(long seed) {
        Schedule schedule = new Schedule(seed, 3 + (int) (seed % 3));
        for (int round = 0; round < 4; round++) {
            schedule.makeChange();
            loseAllPower(schedule);
        }
        schedule.makeChange();
        schedule.awaitAllCaughtUp(SimulatedFleet.CATCH_UP_MS);
    }

    /** Power is lost at a random moment while the acceptor set grows by two machines or while a machine is replaced. */
    @ParameterizedTest
    @MethodSource("seeds")
    void acknowledgedChangesSurviveAPowerLossDuringAnAcceptorChange(long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        for (boolean grows : new boolean[] {true, false}) {
            Schedule schedule = new Schedule(seed, 3);
            schedule.fleet.contact().allowFaultsBeyondTolerance();
            schedule.makeChanges(3);
            if (grows) {
                addAndStart(schedule);
                addAndStart(schedule);
            } else {
                schedule.core(random.nextInt(3)).remove();
                addAndStart(schedule);
            }
            schedule.run(random.nextDouble() * SimulatedFleet.CATCH_UP_MS);
            loseAllPower(schedule);
            schedule.makeChanges(2);
            schedule.awaitAllCaughtUp(SimulatedFleet.RECOVERY_MS);
            schedule.runUntil(
                    SimulatedFleet.RECOVERY_MS, "the acceptor set is complete", () -> isAcceptorSetComplete(schedule));
        }
    }

    private static void addAndStart(Schedule schedule) {
        ControlMachine started = schedule.fleet.addControlMachine(schedule.fleet.firstSeeds(), false);
        schedule.fleet.contact().recordStartWithEmptyDisk(started);
        started.start();
    }

    private static boolean isAcceptorSetComplete(Schedule schedule) {
        List<String> identities = schedule.fleet.core().stream()
                .map(control -> control.process().identity())
                .toList();
        return schedule.core(0).process().acceptors().members().stream()
                        .filter(acceptor -> identities.contains(acceptor.identity()))
                        .count()
                == schedule.fleet.core().size();
    }

    /** All machines lose power and restart within half a second. */
    private static void loseAllPower(Schedule schedule) {
        SplittableRandom random =
                new SplittableRandom((long) schedule.fleet.time().now());
        schedule.fleet.machines().forEach(machine -> {
            schedule.fleet.contact().recordFault(machine);
            schedule.faults.powerLoss(machine, random.nextDouble() * 500, () -> {});
        });
        schedule.run(600);
        schedule.runUntil(
                SimulatedFleet.RECOVERY_MS,
                "all data planes have complete metadata",
                () -> schedule.fleet.edge().stream()
                        .allMatch(data -> data.process().isComplete()));
    }

    /**
     * Under a processor quota a process runs for 30 ms of each 100 ms and is paused for 70 ms, on some machines or on
     * all. No lease and no session is lost, and changes are confirmed in time.
     */
    @ParameterizedTest
    @ValueSource(ints = {1, 3, 6})
    void noLeaseIsLostUnderAProcessorQuota(int machines) {
        for (long seed = 1; seed <= 5; seed++) {
            Schedule schedule = new Schedule(seed, 3);
            ControlMachine holder = awaitLeaseHolder(schedule);
            long token = holder.process().fencingToken();
            double untilMs = schedule.fleet.time().now() + QUOTA_MS;
            SplittableRandom random = new SplittableRandom(seed);
            for (Machine machine : schedule.fleet.machines().subList(0, machines)) {
                schedule.fleet
                        .time()
                        .after(
                                random.nextDouble() * 100,
                                () -> schedule.faults.limitProcessor(machine, QUOTA_RUN_MS, QUOTA_PAUSE_MS, untilMs));
            }
            while (schedule.fleet.time().now() < untilMs) {
                schedule.makeChange();
                schedule.run(100);
            }
            schedule.run(200);
            assertTrue(holder.process().isListLeaseHolder());
            assertEquals(token, holder.process().fencingToken());
            schedule.awaitAllCaughtUp(SimulatedFleet.CATCH_UP_MS);
        }
    }

    private static ControlMachine awaitLeaseHolder(Schedule schedule) {
        schedule.runUntil(
                SimulatedFleet.CONTACT_MS, "a control plane has the lease", () -> schedule.fleet.core().stream()
                        .anyMatch(control -> control.process().isListLeaseHolder()));
        return schedule.fleet.core().stream()
                .filter(control -> control.process().isListLeaseHolder())
                .findFirst()
                .orElseThrow();
    }

    /** Clocks are set back by a minute while processes restart: no process is treated as an earlier incarnation. */
    @ParameterizedTest
    @MethodSource("seeds")
    void restartsWithClocksSetBackLoseNoChange(long seed) {
        Schedule schedule = new Schedule(seed, 3);
        SplittableRandom random = new SplittableRandom(seed);
        for (int round = 0; round < 4; round++) {
            ControlMachine control = schedule.core(random.nextInt(3));
            DataMachine data = schedule.fleet.edge().get(random.nextInt(3));
            control.stepClock(-CLOCK_STEP_MS);
            data.stepClock(-CLOCK_STEP_MS);
            schedule.faults.kill(control, random.nextDouble() * 500, () -> {});
            schedule.faults.powerLoss(data, random.nextDouble() * 500, () -> {});
            schedule.makeChange();
            schedule.run(SimulatedFleet.CATCH_UP_MS);
        }
        schedule.awaitAllCaughtUp(SimulatedFleet.CATCH_UP_MS);
    }

    /**
     * A data plane restarts with a clock behind that of its earlier incarnation. The earlier incarnation is listed
     * until its session ends; it has the same address, so peers reach the current one anyway. The data plane is always
     * listed exactly once.
     */
    @ParameterizedTest
    @MethodSource("seeds")
    void aRestartedDataPlaneWhoseClockWasSetBackIsListedOnce(long seed) {
        Schedule schedule = new Schedule(seed, 3);
        schedule.run(SESSION_MS);
        DataMachine restarted = schedule.fleet.edge().get((int) (seed % 3));
        restarted.stepClock(-CLOCK_STEP_MS);
        boolean powerLost = seed % 2 == 0;
        double downMs = seed * 30;
        if (powerLost) {
            schedule.faults.powerLoss(restarted, downMs, () -> {});
        } else {
            schedule.faults.kill(restarted, downMs, () -> {});
        }
        schedule.run(downMs + SESSION_MS);
        long currentIncarnation = restarted.incarnationAtStart();
        for (ControlMachine control : schedule.fleet.core()) {
            List<Member> members = control.process().members();
            assertEquals(3, members.size());
            Member listed = members.stream()
                    .filter(member -> member.node.equals(restarted.name()))
                    .findFirst()
                    .orElseThrow();
            assertEquals(currentIncarnation, listed.incarnation);
        }
    }

    /** The store has reached its size limit and the disk is full: the file can't be rewritten and stays unchanged. */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3})
    void aStoreAtItsLimitOnAFullDiskKeepsItsData(long seed) {
        Schedule schedule = new Schedule(seed, 3);
        ControlMachine full = schedule.core((int) (seed % 3));
        schedule.makeChanges(40);
        assertTrue(full.disk().maxTotalBytes() > STORE_LIMIT_BYTES, full.disk().maxTotalBytes() + " bytes");
        schedule.fleet.contact().recordFault(full);
        full.disk().setFull(true);
        schedule.makeChanges(40);
        full.kill();
        full.start();
        schedule.makeChanges(5);
        schedule.awaitAllCaughtUp(SimulatedFleet.CATCH_UP_MS);
        full.disk().setFull(false);
        schedule.makeChanges(40);
        schedule.run(SimulatedFleet.CATCH_UP_MS);
        schedule.core((int) ((seed + 1) % 3)).kill();
        schedule.makeChanges(5);
        schedule.awaitAllCaughtUp(SimulatedFleet.CATCH_UP_MS);
    }
}
