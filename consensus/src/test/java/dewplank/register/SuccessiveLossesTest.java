package dewplank.register;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Assertions;
import org.junit.jupiter.api.Test;

/**
 * Losses that follow a repair at once. Each step of a replacement is accepted whole by majorities of both sets before
 * the next begins, so a member that leaves is never the last one with the value, and one that joins is not counted on
 * before a majority of its set has it. Forced at each event from the start of the replacement until well after its end.
 */
class SuccessiveLossesTest {
    private static final double PATIENCE = 3000;
    private static final double PAUSE = 100;
    private static final int MOST_TRIES = 60;

    /** So many events reach beyond the end of a replacement, which the tests check. */
    private static final int MOMENTS = 300;

    /** A sweep of the simulated processes takes at most 625 ms, the answers, the value and its store some 50 more. */
    private static final double CAUGHT_UP = 700;

    private SimulatedFleet fleet;
    private int version;

    private void begin(int size, int members) {
        fleet = new SimulatedFleet(size, members, new SimulationRules(true, false, false), new SplittableRandom(11));
        version = 0;
    }

    private SimulatedProcess process(int index) {
        return fleet.processes().get(index);
    }

    private void change(int at) {
        version++;
        for (int tries = 0; tries < MOST_TRIES; tries++) {
            List<Outcome> outcomes = new ArrayList<>();
            fleet.change(process(at), version, version - 1, PATIENCE, outcomes::add);
            while (outcomes.isEmpty()) {
                fleet.events().playOne(Double.MAX_VALUE);
            }
            if (outcomes.get(0) instanceof Outcome.Confirmed) {
                Assertions.assertEquals(VersionHistory.TAKEN, ((Outcome.Confirmed) outcomes.get(0)).answer());
                return;
            }
        }
        Assertions.fail("change " + version + " found no majority");
    }

    /** Puts one acceptor in the place of another, as the keeper would: until it is so. */
    private void replace(int at, AcceptorId old, AcceptorId by) {
        for (int tries = 0; tries < MOST_TRIES; tries++) {
            AcceptorSet set = process(at).register().acceptors();
            if (!set.isJoint() && !set.members().contains(old)) {
                return;
            }
            List<AcceptorId> wanted = new ArrayList<>(set.isJoint() ? set.joining() : set.members());
            wanted.replaceAll(each -> each.equals(old) ? by : each);
            fleet.replace(process(at), set.generation(), wanted, PATIENCE, outcome -> {});
            fleet.events().playUntil(fleet.now() + PAUSE);
        }
        Assertions.fail("the lost acceptor is not replaced");
    }

    /** Loses a machine with its disk; it is back at once, empty. */
    private AcceptorId lose(int index) {
        AcceptorId lost = process(index).acceptor();
        process(index).wipe();
        process(index).start();
        return lost;
    }

    private void catchUp() {
        fleet.events().playUntil(fleet.now() + CAUGHT_UP);
        RegisterValue newest = fleet.newestChosen();
        for (SimulatedProcess process : fleet.processes()) {
            if (process.isUp() && newest.acceptors().members().contains(process.acceptor())) {
                Assertions.assertEquals(newest, process.disk().chosenValue(), process.address() + " lacks the value");
            }
        }
    }

    private void checkReach(int moment, int last) {
        if (moment == 0 || moment == last) {
            Assertions.assertEquals(
                    moment == 0 ? 0 : 2, process(1).register().acceptors().generation());
        }
    }

    private void play(int events) {
        for (int event = 0; event < events; event++) {
            fleet.events().playOne(Double.MAX_VALUE);
        }
    }

    @Test
    void ofThreeOneIsLostInTheWindowAndThenTheNext() {
        for (int moment = 0; moment < MOMENTS; moment++) {
            begin(5, 3);
            change(1);
            AcceptorId leaving = process(0).acceptor();
            fleet.replace(
                    process(1),
                    0,
                    List.of(
                            process(3).acceptor(),
                            process(1).acceptor(),
                            process(2).acceptor()),
                    PATIENCE,
                    outcome -> {});
            play(moment);
            checkReach(moment, MOMENTS - 1);
            AcceptorId lost = lose(1);
            replace(2, lost, process(4).acceptor());
            replace(2, leaving, process(3).acceptor());
            process(0).kill();
            catchUp();
            change(4);
            catchUp();
            AcceptorId last = lose(2);
            replace(3, last, process(2).acceptor());
            change(2);
            fleet.history().checkEnd();
        }
    }

    @Test
    void ofThreeAllAreLostOneAfterTheOther() {
        begin(5, 3);
        change(1);
        for (int index : new int[] {0, 1, 2}) {
            AcceptorId lost = lose(index);
            int successor = index < 2 ? index + 3 : index;
            replace(index == 0 ? 2 : 3, lost, process(successor).acceptor());
            catchUp();
            change(successor);
        }
        Assertions.assertEquals(6, process(3).register().acceptors().generation());
        fleet.history().checkEnd();
    }

    @Test
    void ofFiveTwoAreLostAtOnceInTheWindowAndThenTwoMore() {
        for (int moment = 0; moment < MOMENTS; moment += 3) {
            begin(7, 5);
            change(1);
            AcceptorId leaving = process(0).acceptor();
            List<AcceptorId> wanted = new ArrayList<>(List.of(process(5).acceptor()));
            for (int index = 1; index < 5; index++) {
                wanted.add(process(index).acceptor());
            }
            fleet.replace(process(1), 0, wanted, PATIENCE, outcome -> {});
            play(moment);
            checkReach(moment, MOMENTS - 3);
            AcceptorId first = lose(1);
            AcceptorId second = lose(2);
            replace(3, first, process(1).acceptor());
            replace(3, second, process(6).acceptor());
            replace(3, leaving, process(5).acceptor());
            process(0).kill();
            catchUp();
            change(1);
            catchUp();
            AcceptorId third = lose(3);
            AcceptorId fourth = lose(4);
            replace(6, third, process(3).acceptor());
            replace(6, fourth, process(2).acceptor());
            change(2);
            fleet.history().checkEnd();
        }
    }

    /** Everything that tells the newcomer is lost while the set changes: the next sweep brings the value. */
    @Test
    void aNewcomerThatHeardNothingHasTheValueAfterASweep() {
        begin(4, 3);
        change(1);
        fleet.network().cut(process(0).address(), process(3).address());
        fleet.network().cut(process(1).address(), process(3).address());
        fleet.network().cut(process(2).address(), process(3).address());
        fleet.replace(
                process(1),
                0,
                List.of(process(3).acceptor(), process(1).acceptor(), process(2).acceptor()),
                PATIENCE,
                outcome -> {});
        while (process(1).register().acceptors().generation() < 2) {
            Assertions.assertTrue(fleet.events().playOne(Double.MAX_VALUE));
        }
        Assertions.assertNull(process(3).register().chosenValue());
        fleet.network().heal();
        catchUp();
    }
}
