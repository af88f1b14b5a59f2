package dewplank.simulation;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Set;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * The five faults of {@code docs/control-state.md}, each as a schedule of its own. Seeds vary the delays on links and
 * disks.
 */
class FivePointsTest {
    private static final double SOON_MS = 2_000;

    /**
     * Point 1: a control plane that is partitioned from the others for twenty seconds, though not from operators,
     * neither confirms nor rejects after a short while, answers so at once, and data planes apply what the others
     * confirm.
     */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3})
    void aPartitionedControlPlaneNeitherConfirmsNorRejectsNorDelaysDataPlanes(long seed) {
        Schedule schedule = new Schedule(seed, 3);
        ControlMachine partitioned = schedule.core((int) (seed % 3));
        schedule.cut(partitioned, schedule.fleet.core(), true);
        schedule.play(SimulatedFleet.CONTACT_MS);
        double until = schedule.fleet.time().now() + 17_000;
        while (schedule.fleet.time().now() < until) {
            schedule.change();
            double sentAtMs = schedule.fleet.time().now();
            int status = schedule.attemptAt(partitioned, schedule.operators.nextPatch());
            assertFalse(Set.of(0, 200, 400, 404, 409, 412).contains(status), "answered " + status);
            assertTrue(schedule.fleet.time().now() - sentAtMs < 300, "the caller would have timed out");
            Long[] read = {-1L};
            schedule.operators.read(partitioned, version -> read[0] = version);
            schedule.play(SimulatedFleet.ACK_MS / 4);
        }
        schedule.cut(partitioned, schedule.fleet.core(), false);
        schedule.awaitAllCaughtUp(SimulatedFleet.CATCH_UP_MS);
    }

    /**
     * Point 2: eight concurrent changes, whose answers were lost, are resent after hundreds of others, to another
     * control plane, after a wipe and a change of acceptors: 200 or no definite answer, never a rejection.
     */
    @ParameterizedTest
    @ValueSource(ints = {0, 10, 300, 1_100})
    void anAcceptedChangeIsNeverRejectedHoweverLateItIsRetried(int others) {
        Schedule schedule = new Schedule(7, 4);
        List<OperatorChange> taken = schedule.changes(Operators.MAX_AT_ONCE);
        schedule.smallChanges(others);
        schedule.faults.wipe(schedule.core(1), 500, () -> {});
        schedule.faults.kill(schedule.core(3), 100, () -> {});
        schedule.play(SimulatedFleet.CATCH_UP_MS);
        for (OperatorChange order : taken) {
            for (ControlMachine at : schedule.fleet.core()) {
                int status = schedule.attemptAt(at, order);
                assertFalse(Set.of(400, 404, 409, 412, 413, 422).contains(status), order + " is answered " + status);
                assertTrue(others > 300 || status != 200 || schedule.operators.answered(order, status));
                assertTrue(others > 300 || status == 200, order + " is answered " + status);
            }
        }
    }

    /** Point 2: two changes on one base with one version are never both confirmed. */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5})
    void ofTwoChangesWithOneVersionExactlyOneIsConfirmed(long seed) {
        Schedule schedule = new Schedule(seed, 3);
        for (int i = 0; i < 20; i++) {
            OperatorChange one = schedule.operators.next();
            OperatorChange other = schedule.operators.next();
            assertEquals(one.version, other.version);
            schedule.operators.send(one, then -> {});
            schedule.play(i % 5);
            schedule.operators.send(other, then -> {});
            schedule.until(SimulatedFleet.ACK_MS, "both are answered", () -> schedule.operators
                    .open()
                    .isEmpty());
            assertTrue(one.state != other.state, "both are " + one.state);
        }
    }

    /**
     * Point 3: an acceptor is lost for good and its successor starts; catch_up_s after that start, to the millisecond,
     * the next one is lost with its disk. What was confirmed is kept, and changes go on.
     */
    @ParameterizedTest
    @ValueSource(ints = {0, 1, 2})
    void theNextLossIsToleratedOnceTheSuccessorHasCaughtUp(int first) {
        for (int second = 0; second < 3; second++) {
            for (boolean replaced : new boolean[] {true, false}) {
                Schedule schedule = new Schedule(11 + second, 3);
                ControlMachine lost = schedule.core(first);
                schedule.changes(3);
                boolean[] back = {false};
                if (replaced) {
                    schedule.faults.replace(lost, 400, () -> back[0] = true);
                } else {
                    schedule.faults.wipe(lost, 400, () -> back[0] = true);
                }
                schedule.until(SOON_MS, "a start", () -> back[0]);
                schedule.play(SimulatedFleet.CATCH_UP_MS);
                ControlMachine next = schedule.core(second);
                schedule.fleet.contact().disturbed(next);
                next.remove();
                schedule.changes(3);
                schedule.awaitAllCaughtUp(SimulatedFleet.CATCH_UP_MS);
            }
        }
    }

    /** Point 3: after an acknowledgement one disk is lost and all others lose power; what was confirmed is kept. */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 6})
    void anAcknowledgedChangeSurvivesTheLossOfADiskAndOfAllPower(long seed) {
        Schedule schedule = new Schedule(seed, 3 + (int) (seed % 2));
        schedule.changes(5);
        ControlMachine wiped = schedule.core((int) (seed % schedule.fleet.core().size()));
        for (ControlMachine control : schedule.fleet.core()) {
            if (control == wiped) {
                schedule.faults.wipe(control, 300, () -> {});
            } else {
                schedule.faults.powerLoss(control, 500, () -> {});
            }
        }
        schedule.play(600);
        schedule.awaitAllCaughtUp(SimulatedFleet.RECOVERY_MS);
        schedule.until(SimulatedFleet.RECOVERY_MS, "data planes have a list", () -> schedule.fleet.edge().stream()
                .allMatch(data -> data.process().complete()));
        schedule.change();
        schedule.awaitAllCaughtUp(SimulatedFleet.CATCH_UP_MS);
    }

    /**
     * Point 4: after hundreds of changes a control plane restarts with an old disk, an empty one and a full one: each
     * time it soon has the newest configuration, and its disk stays within its bound.
     */
    @ParameterizedTest
    @ValueSource(ints = {0, 1, 2})
    void aRestartedControlPlaneCatchesUpAfterHundredsOfChanges(int index) {
        Schedule schedule = new Schedule(21, 3);
        schedule.changes(20);
        ControlMachine restarted = schedule.core(index);
        schedule.fleet.contact().disturbed(restarted);
        restarted.kill();
        schedule.changes(150);
        restarted.start();
        schedule.awaitAllCaughtUp(SimulatedFleet.CATCH_UP_MS);
        schedule.play(SimulatedFleet.CATCH_UP_MS);
        schedule.faults.wipe(restarted, 300, () -> {});
        schedule.changes(100);
        schedule.awaitAllCaughtUp(SimulatedFleet.CATCH_UP_MS);
        schedule.play(SimulatedFleet.CATCH_UP_MS);
        restarted.kill();
        schedule.changes(20);
        restarted.disk().fill(true);
        restarted.start();
        schedule.awaitAllCaughtUp(SimulatedFleet.CATCH_UP_MS);
        restarted.disk().fill(false);
        schedule.changes(5);
        schedule.awaitAllCaughtUp(SimulatedFleet.CATCH_UP_MS);
        for (ControlMachine control : schedule.fleet.core()) {
            assertTrue(
                    control.disk().maxTotalBytes() <= 2 << 20,
                    control.name() + " filled " + control.disk().maxTotalBytes() + " bytes");
        }
    }

    /**
     * Point 5: messages of an earlier connection, or of an earlier incarnation with another disk, arrive after newer
     * ones. Nobody takes the older for the newer.
     */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8})
    void delayedMessagesOfAnEarlierIncarnationChangeNothing(long seed) {
        Schedule schedule = new Schedule(seed, 3);
        ControlMachine restarted = schedule.core((int) (seed % 3));
        for (int i = 0; i < 3; i++) {
            schedule.cut(restarted, schedule.fleet.machines(), true); // its messages wait
            schedule.play(900);
            restarted.kill();
            if (i == 1) {
                restarted.wipe();
            }
            schedule.play(50);
            restarted.start();
            schedule.play(300);
            schedule.cut(restarted, schedule.fleet.machines(), false);
            schedule.change();
            schedule.awaitAllCaughtUp(SimulatedFleet.CATCH_UP_MS);
            schedule.play(SimulatedFleet.CATCH_UP_MS);
            String identity = restarted.process().identity();
            long members = schedule.core(0).process().acceptors().members().stream()
                    .filter(acceptor -> acceptor.identity().equals(identity))
                    .count();
            assertEquals(
                    1,
                    members,
                    "the acceptor of this disk in " + schedule.core(0).process().acceptors());
        }
    }
}
