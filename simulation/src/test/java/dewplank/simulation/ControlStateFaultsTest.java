package dewplank.simulation;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Set;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * The five faults of {@code docs/control-state.md}; each test is a separate schedule. Seeds vary the delays of links
 * and disks.
 */
class ControlStateFaultsTest {
    private static final double MAX_SUCCESSOR_START_MS = 2_000;

    /**
     * Point 1: a control plane is partitioned from the others for twenty seconds, but not from operators. After a short
     * time it neither confirms nor rejects changes and responds without delay; data planes apply the changes that the
     * others confirm.
     */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3})
    void aPartitionedControlPlaneNeitherConfirmsNorRejectsNorDelaysDataPlanes(long seed) {
        Schedule schedule = new Schedule(seed, 3);
        ControlMachine partitioned = schedule.core((int) (seed % 3));
        schedule.setPartitioned(partitioned, schedule.fleet.core(), true);
        schedule.run(SimulatedFleet.CONTACT_MS);
        double until = schedule.fleet.time().now() + 17_000;
        while (schedule.fleet.time().now() < until) {
            schedule.makeChange();
            double sentAtMs = schedule.fleet.time().now();
            int status = schedule.sendOnce(partitioned, schedule.operators.newPatch());
            assertFalse(Set.of(0, 200, 400, 404, 409, 412).contains(status), "responded with " + status);
            assertTrue(schedule.fleet.time().now() - sentAtMs < 300, "the client would have timed out");
            Long[] read = {-1L};
            schedule.operators.read(partitioned, version -> read[0] = version);
            schedule.run(SimulatedFleet.ACK_MS / 4);
        }
        schedule.setPartitioned(partitioned, schedule.fleet.core(), false);
        schedule.awaitAllCaughtUp(SimulatedFleet.CATCH_UP_MS);
    }

    /**
     * Point 2: eight accepted changes are sent again, as after lost responses, to every control plane after hundreds of
     * others, a wiped disk and a change of acceptors. The response is 200 or indefinite, never a rejection.
     */
    @ParameterizedTest
    @ValueSource(ints = {0, 10, 300, 1_100})
    void anAcceptedChangeIsNeverRejectedOnALateRetry(int others) {
        Schedule schedule = new Schedule(7, 4);
        List<OperatorChange> accepted = schedule.makeChanges(Operators.MAX_OPEN_CHANGES);
        schedule.makeSmallChanges(others);
        schedule.faults.wipe(schedule.core(1), 500, () -> {});
        schedule.faults.kill(schedule.core(3), 100, () -> {});
        schedule.run(SimulatedFleet.CATCH_UP_MS);
        for (OperatorChange change : accepted) {
            for (ControlMachine at : schedule.fleet.core()) {
                int status = schedule.sendOnce(at, change);
                assertFalse(Set.of(400, 404, 409, 412, 413, 422).contains(status), change + " got response " + status);
                assertTrue(others > 300 || status != 200 || schedule.operators.recordResponse(change, status));
                assertTrue(others > 300 || status == 200, change + " got response " + status);
            }
        }
    }

    /** Point 2: of two changes with the same base and the same version, never both are confirmed. */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5})
    void exactlyOneOfTwoChangesWithTheSameVersionIsConfirmed(long seed) {
        Schedule schedule = new Schedule(seed, 3);
        for (int i = 0; i < 20; i++) {
            OperatorChange first = schedule.operators.newChange();
            OperatorChange second = schedule.operators.newChange();
            assertEquals(first.version, second.version);
            schedule.operators.send(first, done -> {});
            schedule.run(i % 5);
            schedule.operators.send(second, done -> {});
            schedule.runUntil(SimulatedFleet.ACK_MS, "both have a response", () -> schedule.operators
                    .openChanges()
                    .isEmpty());
            assertTrue(first.state != second.state, "both are " + first.state);
        }
    }

    /**
     * Point 3: an acceptor is lost permanently and its successor starts; exactly catch_up_s after that start, the next
     * acceptor is lost with its disk. Confirmed changes are kept, and new changes are accepted.
     */
    @ParameterizedTest
    @ValueSource(ints = {0, 1, 2})
    void theNextLossIsToleratedOnceTheSuccessorHasCaughtUp(int first) {
        for (int second = 0; second < 3; second++) {
            for (boolean replaced : new boolean[] {true, false}) {
                Schedule schedule = new Schedule(11 + second, 3);
                ControlMachine lost = schedule.core(first);
                schedule.makeChanges(3);
                boolean[] recovered = {false};
                if (replaced) {
                    schedule.faults.replace(lost, 400, () -> recovered[0] = true);
                } else {
                    schedule.faults.wipe(lost, 400, () -> recovered[0] = true);
                }
                schedule.runUntil(MAX_SUCCESSOR_START_MS, "the successor starts", () -> recovered[0]);
                schedule.run(SimulatedFleet.CATCH_UP_MS);
                ControlMachine next = schedule.core(second);
                schedule.fleet.contact().recordFault(next);
                next.remove();
                schedule.makeChanges(3);
                schedule.awaitAllCaughtUp(SimulatedFleet.CATCH_UP_MS);
            }
        }
    }

    /** Point 3: after an acknowledgement one disk is lost and all others lose power; confirmed changes are kept. */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 6})
    void anAcknowledgedChangeSurvivesTheLossOfADiskAndOfAllPower(long seed) {
        Schedule schedule = new Schedule(seed, 3 + (int) (seed % 2));
        schedule.makeChanges(5);
        ControlMachine wiped = schedule.core((int) (seed % schedule.fleet.core().size()));
        for (ControlMachine control : schedule.fleet.core()) {
            if (control == wiped) {
                schedule.faults.wipe(control, 300, () -> {});
            } else {
                schedule.faults.powerLoss(control, 500, () -> {});
            }
        }
        schedule.run(600);
        schedule.awaitAllCaughtUp(SimulatedFleet.RECOVERY_MS);
        schedule.runUntil(
                SimulatedFleet.RECOVERY_MS, "data planes have complete metadata", () -> schedule.fleet.edge().stream()
                        .allMatch(data -> data.process().isComplete()));
        schedule.makeChange();
        schedule.awaitAllCaughtUp(SimulatedFleet.CATCH_UP_MS);
    }

    /**
     * Point 4: after hundreds of changes a control plane restarts with an outdated, an empty and a full disk. Each time
     * it soon has the newest configuration, and its disk usage stays within the limit.
     */
    @ParameterizedTest
    @ValueSource(ints = {0, 1, 2})
    void aRestartedControlPlaneCatchesUpAfterHundredsOfChanges(int index) {
        Schedule schedule = new Schedule(21, 3);
        schedule.makeChanges(20);
        ControlMachine restarted = schedule.core(index);
        schedule.fleet.contact().recordFault(restarted);
        restarted.kill();
        schedule.makeChanges(150);
        restarted.start();
        schedule.awaitAllCaughtUp(SimulatedFleet.CATCH_UP_MS);
        schedule.run(SimulatedFleet.CATCH_UP_MS);
        schedule.faults.wipe(restarted, 300, () -> {});
        schedule.makeChanges(100);
        schedule.awaitAllCaughtUp(SimulatedFleet.CATCH_UP_MS);
        schedule.run(SimulatedFleet.CATCH_UP_MS);
        restarted.kill();
        schedule.makeChanges(20);
        restarted.disk().setFull(true);
        restarted.start();
        schedule.awaitAllCaughtUp(SimulatedFleet.CATCH_UP_MS);
        restarted.disk().setFull(false);
        schedule.makeChanges(5);
        schedule.awaitAllCaughtUp(SimulatedFleet.CATCH_UP_MS);
        for (ControlMachine control : schedule.fleet.core()) {
            assertTrue(
                    control.disk().maxTotalBytes() <= 2 << 20,
                    control.name() + " used " + control.disk().maxTotalBytes() + " bytes");
        }
    }

    /**
     * Point 5: messages of an earlier connection, or of an earlier incarnation with another disk, arrive after newer
     * ones. No process treats the older messages as the newer ones.
     */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8})
    void delayedMessagesOfAnEarlierIncarnationHaveNoEffect(long seed) {
        Schedule schedule = new Schedule(seed, 3);
        ControlMachine restarted = schedule.core((int) (seed % 3));
        for (int i = 0; i < 3; i++) {
            schedule.setPartitioned(
                    restarted, schedule.fleet.machines(), true); // delays its messages until the partition heals
            schedule.run(900);
            restarted.kill();
            if (i == 1) {
                restarted.wipe();
            }
            schedule.run(50);
            restarted.start();
            schedule.run(300);
            schedule.setPartitioned(restarted, schedule.fleet.machines(), false);
            schedule.makeChange();
            schedule.awaitAllCaughtUp(SimulatedFleet.CATCH_UP_MS);
            schedule.run(SimulatedFleet.CATCH_UP_MS);
            String identity = restarted.process().identity();
            long members = schedule.core(0).process().acceptors().members().stream()
                    .filter(acceptor -> acceptor.identity().equals(identity))
                    .count();
            assertEquals(
                    1,
                    members,
                    "acceptors with the identity of this disk in "
                            + schedule.core(0).process().acceptors());
        }
    }
}
