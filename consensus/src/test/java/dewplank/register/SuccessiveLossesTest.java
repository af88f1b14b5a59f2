package dewplank.register;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Assertions;
import org.junit.jupiter.api.Test;

/**
 * Tests losses immediately after a repair. Each step of a reconfiguration writes the complete value, which majorities
 * of both sets accept before the next step starts. Therefore a leaving member never has the only replica, and a joining
 * member counts towards no quorum before a majority of its set has the value. The tests force the losses after each
 * number of events, from the start of the reconfiguration until well after its end.
 */
class SuccessiveLossesTest {
    private static final double TIMEOUT_MS = 3000;
    private static final double RETRY_BACKOFF_MS = 100;
    private static final int MAX_ATTEMPTS = 60;

    /** Enough events to complete a reconfiguration, which the tests check. */
    private static final int MAX_EVENTS_BEFORE_LOSS = 300;

    /** An anti-entropy interval is at most 625 ms here; reports, the value and its store take about 50 ms more. */
    private static final double CAUGHT_UP_MS = 700;

    private SimulatedFleet fleet;
    private int version;

    private void startFleet(int size, int members) {
        fleet = new SimulatedFleet(size, members, new SimulationRules(true, false, false), new SplittableRandom(11));
        version = 0;
    }

    private void change(int processIndex) {
        version++;
        for (int attempt = 0; attempt < MAX_ATTEMPTS; attempt++) {
            List<Outcome<String>> outcomes = new ArrayList<>();
            fleet.change(fleet.process(processIndex), version, version - 1, TIMEOUT_MS, outcomes::add);
            while (outcomes.isEmpty()) {
                fleet.events().runNext(Double.MAX_VALUE);
            }
            if (outcomes.get(0) instanceof Outcome.Confirmed<String> confirmed) {
                Assertions.assertEquals(new RequestResult.OfChange<>(VersionHistory.APPLIED), confirmed.result());
                return;
            }
        }
        Assertions.fail("change " + version + " was not confirmed by a quorum");
    }

    /** Replaces one acceptor by another; retries until the replacement is complete. */
    private void replace(int processIndex, AcceptorId old, AcceptorId successor) {
        for (int attempt = 0; attempt < MAX_ATTEMPTS; attempt++) {
            AcceptorSet set = fleet.process(processIndex).register().acceptors();
            if (!set.isJoint() && !set.members().contains(old)) {
                return;
            }
            List<AcceptorId> target = new ArrayList<>(set.isJoint() ? set.joining() : set.members());
            target.replaceAll(each -> each.equals(old) ? successor : each);
            fleet.reconfigure(fleet.process(processIndex), set.generation(), target, TIMEOUT_MS, outcome -> {});
            fleet.events().runUntil(fleet.nowMs() + RETRY_BACKOFF_MS);
        }
        Assertions.fail("the lost acceptor was not replaced");
    }

    /** Simulates the loss of a machine with its disk; the process restarts immediately with an empty disk. */
    private AcceptorId lose(int index) {
        AcceptorId lost = fleet.process(index).acceptor();
        fleet.process(index).wipe();
        fleet.process(index).start();
        return lost;
    }

    private void catchUp() {
        fleet.events().runUntil(fleet.nowMs() + CAUGHT_UP_MS);
        RegisterValue newest = fleet.newestChosen();
        for (SimulatedProcess process : fleet.processes()) {
            if (process.isUp() && newest.acceptors().members().contains(process.acceptor())) {
                Assertions.assertEquals(newest, process.disk().chosenValue(), process.address() + " lacks the value");
            }
        }
    }

    private void checkGenerationAtEnds(int eventsBeforeLoss, int last) {
        if (eventsBeforeLoss == 0 || eventsBeforeLoss == last) {
            Assertions.assertEquals(
                    eventsBeforeLoss == 0 ? 0 : 2,
                    fleet.process(1).register().acceptors().generation());
        }
    }

    private void runEvents(int events) {
        for (int event = 0; event < events; event++) {
            fleet.events().runNext(Double.MAX_VALUE);
        }
    }

    @Test
    void threeAcceptorsTolerateALossDuringAReconfigurationAndAnotherAfterIt() {
        for (int eventsBeforeLoss = 0; eventsBeforeLoss < MAX_EVENTS_BEFORE_LOSS; eventsBeforeLoss++) {
            startFleet(5, 3);
            change(1);
            AcceptorId leaving = fleet.process(0).acceptor();
            fleet.reconfigure(fleet.process(1), 0, fleet.acceptors(3, 1, 2), TIMEOUT_MS, outcome -> {});
            runEvents(eventsBeforeLoss);
            checkGenerationAtEnds(eventsBeforeLoss, MAX_EVENTS_BEFORE_LOSS - 1);
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
    void threeAcceptorsTolerateTheSuccessiveLossOfAll() {
        startFleet(5, 3);
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
    void fiveAcceptorsTolerateTwoLossesDuringAReconfigurationAndTwoAfterIt() {
        for (int eventsBeforeLoss = 0; eventsBeforeLoss < MAX_EVENTS_BEFORE_LOSS; eventsBeforeLoss += 3) {
            startFleet(7, 5);
            change(1);
            AcceptorId leaving = fleet.process(0).acceptor();
            List<AcceptorId> target = fleet.acceptors(5, 1, 2, 3, 4);
            fleet.reconfigure(fleet.process(1), 0, target, TIMEOUT_MS, outcome -> {});
            runEvents(eventsBeforeLoss);
            checkGenerationAtEnds(eventsBeforeLoss, MAX_EVENTS_BEFORE_LOSS - 3);
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

    /** All messages to the joining acceptor are lost during the reconfiguration, so anti-entropy delivers the value. */
    @Test
    void joiningAcceptorReceivesAMissedValueByAntiEntropy() {
        startFleet(4, 3);
        change(1);
        fleet.network().block(fleet.process(0).address(), fleet.process(3).address());
        fleet.network().block(fleet.process(1).address(), fleet.process(3).address());
        fleet.network().block(fleet.process(2).address(), fleet.process(3).address());
        fleet.reconfigure(fleet.process(1), 0, fleet.acceptors(3, 1, 2), TIMEOUT_MS, outcome -> {});
        while (fleet.process(1).register().acceptors().generation() < 2) {
            Assertions.assertTrue(fleet.events().runNext(Double.MAX_VALUE));
        }
        Assertions.assertNull(fleet.process(3).register().chosenValue());
        fleet.network().heal();
        catchUp();
    }
}
