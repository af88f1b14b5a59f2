package dewplank.simulation;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Set;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * The five things that operators met on the worst days of such systems, each as a course of events of its own. Seeds
 * vary the delays on links and disks.
 */
class FivePointsTest {
    private static final double SOON_MS = 2_000;

    /**
     * Point 1: a control sidecar that is cut off from the core for twenty seconds, though not from operators, soon
     * neither confirms nor refuses, says so at once, and data planes in touch have what the others confirm.
     */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3})
    void aPartitionedControlPlaneNeitherConfirmsNorRejectsNorDelaysDataPlanes(long seed) {
        Schedule s = new Schedule(seed, 3);
        ControlMachine away = s.core((int) (seed % 3));
        s.cut(away, s.fleet.core(), true);
        s.play(SimulatedFleet.CONTACT_MS);
        double until = s.fleet.time().now() + 17_000;
        while (s.fleet.time().now() < until) {
            s.change();
            double asked = s.fleet.time().now();
            int status = s.tryAt(away, s.operators.nextPatch());
            assertFalse(Set.of(0, 200, 400, 404, 409, 412).contains(status), "answered " + status);
            assertTrue(s.fleet.time().now() - asked < 300, "an answer that costs the caller its patience");
            Long[] read = {-1L};
            s.operators.read(away, version -> read[0] = version);
            s.play(SimulatedFleet.ACK_MS / 4);
        }
        s.cut(away, s.fleet.core(), false);
        s.everyoneCatchesUp(SimulatedFleet.CATCH_UP_MS);
    }

    /**
     * Point 2: eight orders at once, whose answers were lost, are sent again after hundreds of others, at another
     * control sidecar, after a wipe and a change of acceptors: 200 or no clear answer, never a refusal.
     */
    @ParameterizedTest
    @ValueSource(ints = {0, 10, 300, 1_100})
    void anAcceptedChangeIsNeverRejectedHoweverLateItIsRetried(int others) {
        Schedule s = new Schedule(7, 4);
        List<OperatorChange> taken = s.changes(Operators.MAX_AT_ONCE);
        s.smallChanges(others);
        s.faults.wipe(s.core(1), 500, () -> {});
        s.faults.kill(s.core(3), 100, () -> {});
        s.play(SimulatedFleet.CATCH_UP_MS);
        for (OperatorChange order : taken) {
            for (ControlMachine at : s.fleet.core()) {
                int status = s.tryAt(at, order);
                assertFalse(Set.of(400, 404, 409, 412, 413, 422).contains(status), order + " is answered " + status);
                assertTrue(others > 300 || status != 200 || s.operators.answered(order, status));
                assertTrue(others > 300 || status == 200, order + " is answered " + status);
            }
        }
    }

    /** Point 2: two operators on one base under one number are never both confirmed, wherever and whenever they ask. */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5})
    void ofTwoChangesWithOneVersionExactlyOneIsConfirmed(long seed) {
        Schedule s = new Schedule(seed, 3);
        for (int i = 0; i < 20; i++) {
            OperatorChange one = s.operators.next();
            OperatorChange other = s.operators.next();
            assertEquals(one.version, other.version);
            s.operators.send(one, then -> {});
            s.play(i % 5);
            s.operators.send(other, then -> {});
            s.until(SimulatedFleet.ACK_MS, "both are answered", () -> s.operators
                    .open()
                    .isEmpty());
            assertTrue(one.state != other.state, "both are " + one.state);
        }
    }

    /**
     * Point 3: an acceptor is lost for good and its successor starts; catch_up_s after that start, to the millisecond,
     * the next one goes with its disk. What was confirmed is there, and changes go on.
     */
    @ParameterizedTest
    @ValueSource(ints = {0, 1, 2})
    void theNextLossIsToleratedOnceTheSuccessorHasCaughtUp(int first) {
        for (int second = 0; second < 3; second++) {
            for (boolean replaced : new boolean[] {true, false}) {
                Schedule s = new Schedule(11 + second, 3);
                ControlMachine lost = s.core(first);
                s.changes(3);
                boolean[] back = {false};
                if (replaced) {
                    s.faults.replace(lost, 400, () -> back[0] = true);
                } else {
                    s.faults.wipe(lost, 400, () -> back[0] = true);
                }
                s.until(SOON_MS, "a start", () -> back[0]);
                s.play(SimulatedFleet.CATCH_UP_MS);
                ControlMachine next = s.core(second);
                s.fleet.contact().disturbed(next);
                next.remove();
                s.changes(3);
                s.everyoneCatchesUp(SimulatedFleet.CATCH_UP_MS);
            }
        }
    }

    /** Point 3: the loss comes right after an acknowledgement, with the others' power; what was confirmed is there. */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 6})
    void anAcknowledgedChangeSurvivesTheLossOfADiskAndOfAllPower(long seed) {
        Schedule s = new Schedule(seed, 3 + (int) (seed % 2));
        s.changes(5);
        ControlMachine wiped = s.core((int) (seed % s.fleet.core().size()));
        for (ControlMachine c : s.fleet.core()) {
            if (c == wiped) {
                s.faults.wipe(c, 300, () -> {});
            } else {
                s.faults.powerLoss(c, 500, () -> {});
            }
        }
        s.play(600);
        s.everyoneCatchesUp(SimulatedFleet.RECOVERY_MS);
        s.until(SimulatedFleet.RECOVERY_MS, "data planes have a list", () -> s.fleet.edge().stream()
                .allMatch(d -> d.process().complete()));
        s.change();
        s.everyoneCatchesUp(SimulatedFleet.CATCH_UP_MS);
    }

    /**
     * Point 4: after hundreds of changes one comes back from an old disk, from an empty one and from a full one: each
     * time it has the newest configuration soon, and its disk stays within its bound.
     */
    @ParameterizedTest
    @ValueSource(ints = {0, 1, 2})
    void aRestartedControlPlaneCatchesUpAfterHundredsOfChanges(int index) {
        Schedule s = new Schedule(21, 3);
        s.changes(20);
        ControlMachine away = s.core(index);
        s.fleet.contact().disturbed(away);
        away.kill();
        s.changes(150);
        away.start();
        s.everyoneCatchesUp(SimulatedFleet.CATCH_UP_MS);
        s.play(SimulatedFleet.CATCH_UP_MS);
        s.faults.wipe(away, 300, () -> {});
        s.changes(100);
        s.everyoneCatchesUp(SimulatedFleet.CATCH_UP_MS);
        s.play(SimulatedFleet.CATCH_UP_MS);
        away.kill();
        s.changes(20);
        away.disk().fill(true);
        away.start();
        s.everyoneCatchesUp(SimulatedFleet.CATCH_UP_MS);
        away.disk().fill(false);
        s.changes(5);
        s.everyoneCatchesUp(SimulatedFleet.CATCH_UP_MS);
        for (ControlMachine c : s.fleet.core()) {
            assertTrue(
                    c.disk().longest() <= 2 << 20,
                    c.name() + " filled " + c.disk().longest() + " bytes");
        }
    }

    /**
     * Point 5: what a process sent on an earlier connection, or in an earlier incarnation with another disk, comes
     * after what it says now. Nobody takes the older for the newer.
     */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8})
    void delayedMessagesOfAnEarlierIncarnationChangeNothing(long seed) {
        Schedule s = new Schedule(seed, 3);
        ControlMachine away = s.core((int) (seed % 3));
        for (int i = 0; i < 3; i++) {
            s.cut(away, s.fleet.machines(), true); // what it says is held up on the way
            s.play(900);
            away.kill();
            if (i == 1) {
                away.wipe();
            }
            s.play(50);
            away.start();
            s.play(300);
            s.cut(away, s.fleet.machines(), false);
            s.change();
            s.everyoneCatchesUp(SimulatedFleet.CATCH_UP_MS);
            s.play(SimulatedFleet.CATCH_UP_MS);
            String identity = away.process().identity();
            long known = s.core(0).process().acceptors().members().stream()
                    .filter(a -> a.identity().equals(identity))
                    .count();
            assertEquals(
                    1,
                    known,
                    "the acceptor of this disk in " + s.core(0).process().acceptors());
        }
    }
}
