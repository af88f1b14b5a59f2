package dewplank.register;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Assertions;
import org.junit.jupiter.api.Test;

/**
 * Losses immediately after a repair. Each step of a reconfiguration is a write of the complete value, accepted by
 * majorities of both sets before the next step begins. So a leaving member never has the only replica, and a joining
 * one counts towards no quorum before a majority of its set has the value. The losses are forced at each event from the
 * start of the reconfiguration until well after its end.
 */
class SuccessiveLossesTest {
    private static final double TIMEOUT_MS = 3000;
    private static final double RETRY_BACKOFF_MS = 100;
    private static final int MAX_ATTEMPTS = 60;

    /** This many events reach beyond the end of a reconfiguration, which the tests check. */
    private static final int MOMENTS = 300;

    /** A period of anti-entropy is at most 625 ms here; reports, the value and its store take some 50 ms more. */
    private static final double CAUGHT_UP_MS = 700;

    private SimulatedFleet fleet;
    private int version;

    private void begin(int size, int members) {
        fleet = new SimulatedFleet(size, members, new SimulationRules(true, false, false), new SplittableRandom(11));
        version = 0;
    }

    private void change(int at) {
        version++;
        for (int attempt = 0; attempt < MAX_ATTEMPTS; attempt++) {
            List<Outcome<String>> outcomes = new ArrayList<>();
            fleet.change(fleet.process(at), version, version - 1, TIMEOUT_MS, outcomes::add);
            while (outcomes.isEmpty()) {
                fleet.events().playOne(Double.MAX_VALUE);
            }
            if (outcomes.get(0) instanceof Outcome.Confirmed<String> confirmed) {
                Assertions.assertEquals(new Answer.OfChange<>(VersionHistory.APPLIED), confirmed.answer());
                return;
            }
        }
        Assertions.fail("change " + version + " found no majority");
    }

    /** Replaces one acceptor by another, with retries until it is done. */
    private void replace(int at, AcceptorId old, AcceptorId successor) {
        for (int attempt = 0; attempt < MAX_ATTEMPTS; attempt++) {
            AcceptorSet set = fleet.process(at).register().acceptors();
            if (!set.isJoint() && !set.members().contains(old)) {
                return;
            }
            List<AcceptorId> target = new ArrayList<>(set.isJoint() ? set.joining() : set.members());
            target.replaceAll(each -> each.equals(old) ? successor : each);
            fleet.reconfigure(fleet.process(at), set.generation(), target, TIMEOUT_MS, outcome -> {});
            fleet.events().playUntil(fleet.nowMs() + RETRY_BACKOFF_MS);
        }
        Assertions.fail("the lost acceptor is not replaced");
    }

    /** Loses a machine with its disk; it restarts at once with an empty disk. */
    private AcceptorId lose(int index) {
        AcceptorId lost = fleet.process(index).acceptor();
        fleet.process(index).wipe();
        fleet.process(index).start();
        return lost;
    }

    private void catchUp() {
        fleet.events().playUntil(fleet.nowMs() + CAUGHT_UP_MS);
        RegisterValue newest = fleet.newestChosen();
        for (SimulatedProcess process : fleet.processes()) {
            if (process.isUp() && newest.acceptors().members().contains(process.acceptor())) {
                Assertions.assertEquals(newest, process.disk().chosenValue(), process.address() + " lacks the value");
            }
        }
    }

    private void checkGenerationAtEnds(int moment, int last) {
        if (moment == 0 || moment == last) {
            Assertions.assertEquals(
                    moment == 0 ? 0 : 2, fleet.process(1).register().acceptors().generation());
        }
    }

    private void play(int events) {
        for (int event = 0; event < events; event++) {
            fleet.events().playOne(Double.MAX_VALUE);
        }
    }

    @Test
    void ofThreeOneIsLostDuringAReconfigurationAndThenTheNext() {
        for (int moment = 0; moment < MOMENTS; moment++) {
            begin(5, 3);
            change(1);
            AcceptorId leaving = fleet.process(0).acceptor();
            fleet.reconfigure(fleet.process(1), 0, fleet.acceptors(3, 1, 2), TIMEOUT_MS, outcome -> {});
            play(moment);
            checkGenerationAtEnds(moment, MOMENTS - 1);
            AcceptorId lost = lose(1);
            replace(2, lost, fleet.process(4).acceptor());
            replace(2, leaving, fleet.process(3).acceptor());
            fleet.process(0).kill();
            catchUp();
            change(4);
            catchUp();
            AcceptorId last = lose(2);
            replace(3, last, fleet.process(2).acceptor());
            change(2);
            fleet.history().checkEnd();
        }
    }

    @Test
    void ofThreeAllAreLostInSuccession() {
        begin(5, 3);
        change(1);
        for (int index : new int[] {0, 1, 2}) {
            AcceptorId lost = lose(index);
            int successor = index < 2 ? index + 3 : index;
            replace(index == 0 ? 2 : 3, lost, fleet.process(successor).acceptor());
            catchUp();
            change(successor);
        }
        Assertions.assertEquals(6, fleet.process(3).register().acceptors().generation());
        fleet.history().checkEnd();
    }

    @Test
    void ofFiveTwoAreLostDuringAReconfigurationAndThenTwoMore() {
        for (int moment = 0; moment < MOMENTS; moment += 3) {
            begin(7, 5);
            change(1);
            AcceptorId leaving = fleet.process(0).acceptor();
            List<AcceptorId> target = fleet.acceptors(5, 1, 2, 3, 4);
            fleet.reconfigure(fleet.process(1), 0, target, TIMEOUT_MS, outcome -> {});
            play(moment);
            checkGenerationAtEnds(moment, MOMENTS - 3);
            AcceptorId first = lose(1);
            AcceptorId second = lose(2);
            replace(3, first, fleet.process(1).acceptor());
            replace(3, second, fleet.process(6).acceptor());
            replace(3, leaving, fleet.process(5).acceptor());
            fleet.process(0).kill();
            catchUp();
            change(1);
            catchUp();
            AcceptorId third = lose(3);
            AcceptorId fourth = lose(4);
            replace(6, third, fleet.process(3).acceptor());
            replace(6, fourth, fleet.process(2).acceptor());
            change(2);
            fleet.history().checkEnd();
        }
    }

    /** All messages to the joining acceptor are lost during the reconfiguration: anti-entropy delivers the value. */
    @Test
    void joiningAcceptorThatMissedTheValueGetsItByAntiEntropy() {
        begin(4, 3);
        change(1);
        fleet.network().block(fleet.process(0).address(), fleet.process(3).address());
        fleet.network().block(fleet.process(1).address(), fleet.process(3).address());
        fleet.network().block(fleet.process(2).address(), fleet.process(3).address());
        fleet.reconfigure(fleet.process(1), 0, fleet.acceptors(3, 1, 2), TIMEOUT_MS, outcome -> {});
        while (fleet.process(1).register().acceptors().generation() < 2) {
            Assertions.assertTrue(fleet.events().playOne(Double.MAX_VALUE));
        }
        Assertions.assertNull(fleet.process(3).register().chosenValue());
        fleet.network().heal();
        catchUp();
    }
}
